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
import io.netty.handler.codec.TooLongFrameException;
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

/**
 * One watch of the store: a streaming request to etcd whose response has one line of JSON for each
 * batch of events and does not end.
 */
final class EtcdWatch {
    private static final Logger LOG = System.getLogger(EtcdWatch.class.getName());
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final long RETRY_DELAY_MS = 500;
    private static final int MAX_LINE_BYTES = 16 * 1024 * 1024;

    private final EventLoopGroup mGroup;
    private final String mAddress;
    private final byte[] mRequestBody;
    private final Consumer<String> mLineConsumer;

    private EtcdWatch(
            EventLoopGroup group,
            String address,
            byte[] requestBody,
            Consumer<String> lineConsumer) {
        mGroup = group;
        mAddress = address;
        mRequestBody = requestBody;
        mLineConsumer = lineConsumer;
    }

    /**
     * Starts a watch, which is repeated after a delay whenever its connection fails or closes,
     * until the event loops shut down.
     *
     * @param group event loops of the connection
     * @param address IP number and port of the store
     * @param requestBody JSON of the watch request
     * @param lineConsumer called on an event loop with each line of the response
     */
    static void start(
            EventLoopGroup group,
            String address,
            byte[] requestBody,
            Consumer<String> lineConsumer) {
        new EtcdWatch(group, address, requestBody, lineConsumer).connect();
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
                .addListener((ChannelFuture future) -> onConnected(future));
    }

    private void onConnected(ChannelFuture future) {
        if (!future.isSuccess()) {
            scheduleRetry();
            return;
        }
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/v3/watch",
                        Unpooled.wrappedBuffer(mRequestBody));
        request.headers()
                .set(HttpHeaderNames.HOST, mAddress)
                .set(HttpHeaderNames.CONTENT_LENGTH, mRequestBody.length);
        future.channel().writeAndFlush(request);
        future.channel().closeFuture().addListener(closed -> scheduleRetry());
    }

    private void scheduleRetry() {
        if (!mGroup.isShuttingDown()) {
            mGroup.schedule(this::connect, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Splits the response body into lines; keeps an incomplete last line for the next chunk. */
    private final class LineHandler extends SimpleChannelInboundHandler<HttpObject> {
        private ByteBuf mUnconsumed = Unpooled.EMPTY_BUFFER;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (!(message instanceof HttpContent content)) {
                return;
            }
            ByteBuf unread = Unpooled.copiedBuffer(mUnconsumed, content.content());
            int newline = unread.indexOf(unread.readerIndex(), unread.writerIndex(), (byte) '\n');
            while (newline >= 0) {
                int length = newline - unread.readerIndex();
                mLineConsumer.accept(
                        unread.readCharSequence(length, StandardCharsets.UTF_8).toString());
                unread.skipBytes(1);
                newline = unread.indexOf(unread.readerIndex(), unread.writerIndex(), (byte) '\n');
            }
            mUnconsumed = unread;
            if (unread.readableBytes() > MAX_LINE_BYTES) {
                throw new TooLongFrameException("line of more than " + MAX_LINE_BYTES + " bytes");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(Level.INFO, "event=watch-broken cause=\"" + cause.getMessage() + "\"");
            context.close();
        }
    }
}
