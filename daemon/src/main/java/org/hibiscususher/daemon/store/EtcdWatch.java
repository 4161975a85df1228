package org.hibiscususher.daemon.store;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpVersion;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hibiscususher.wire.http.Addresses;

/** One watch of the store: a request whose answer is lines without end. */
final class EtcdWatch {
    private static final Logger LOG = System.getLogger(EtcdWatch.class.getName());
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final long RETRY_MS = 500;

    private final EventLoopGroup mGroup;
    private final String mAddress;
    private final byte[] mRequest;
    private final Consumer<String> mLines;

    private EtcdWatch(
            EventLoopGroup group, String address, byte[] request, Consumer<String> lines) {
        mGroup = group;
        mAddress = address;
        mRequest = request;
        mLines = lines;
    }

    /** Starts a watch that is set up again whenever it breaks. */
    static void start(
            EventLoopGroup group, String address, byte[] request, Consumer<String> lines) {
        new EtcdWatch(group, address, request, lines).connect();
    }

    private void connect() {
        new Bootstrap()
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(new HttpClientCodec())
                                        .addLast(new LineHandler());
                            }
                        })
                .connect(Addresses.parse(mAddress))
                .addListener((ChannelFuture connected) -> connected(connected));
    }

    private void connected(ChannelFuture connected) {
        if (!connected.isSuccess()) {
            retryLater();
            return;
        }
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/v3/watch",
                        Unpooled.wrappedBuffer(mRequest));
        request.headers()
                .set(HttpHeaderNames.HOST, mAddress)
                .set(HttpHeaderNames.CONTENT_LENGTH, mRequest.length);
        connected.channel().writeAndFlush(request);
        connected.channel().closeFuture().addListener(closed -> retryLater());
    }

    private void retryLater() {
        if (!mGroup.isShuttingDown()) {
            mGroup.schedule(this::connect, RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Splits the body into lines. */
    private final class LineHandler extends SimpleChannelInboundHandler<HttpObject> {
        private ByteBuf mPending = Unpooled.EMPTY_BUFFER;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (!(message instanceof HttpContent content)) {
                return;
            }
            ByteBuf all = Unpooled.copiedBuffer(mPending, content.content());
            int end = all.indexOf(all.readerIndex(), all.writerIndex(), (byte) '\n');
            while (end >= 0) {
                int length = end - all.readerIndex();
                mLines.accept(all.readCharSequence(length, StandardCharsets.UTF_8).toString());
                all.skipBytes(1);
                end = all.indexOf(all.readerIndex(), all.writerIndex(), (byte) '\n');
            }
            mPending = all;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(Level.INFO, "event=watch-broken cause=\"" + cause.getMessage() + "\"");
            context.close();
        }
    }
}
