package org.hibiscususher.wire.http;

import io.netty.bootstrap.Bootstrap;
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
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Makes HTTP calls with whole bodies, one connection a call. Thread-safe. */
public final class OneShotHttpClient {
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    private final EventLoopGroup mGroup;
    private final int mTimeoutMs;

    private OneShotHttpClient(EventLoopGroup group, int timeoutMs) {
        mGroup = group;
        mTimeoutMs = timeoutMs;
    }

    /**
     * Creates a caller.
     *
     * @param group event loops that carry the calls; the owner closes them
     * @param timeoutMs longest silence of the other side, in milliseconds
     */
    public static OneShotHttpClient create(EventLoopGroup group, int timeoutMs) {
        return new OneShotHttpClient(group, timeoutMs);
    }

    /**
     * Sends a request and gives the whole answer, or fails with an {@link IOException}.
     *
     * @param address IP number and port
     * @param method method
     * @param path path and query
     * @param body bytes of the body; may be empty
     */
    public CompletableFuture<HttpReply> send(
            String address, HttpMethod method, String path, byte[] body) {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers()
                .set(HttpHeaderNames.HOST, address)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, "close");
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, mTimeoutMs)
                        .handler(new Pipeline(reply, mTimeoutMs));
        bootstrap
                .connect(Addresses.parse(address))
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                connected.channel().writeAndFlush(request);
                            } else {
                                request.release();
                                reply.completeExceptionally(
                                        new IOException(
                                                "no connection to " + address, connected.cause()));
                            }
                        });
        return reply;
    }

    private static final class Pipeline extends ChannelInitializer<Channel> {
        private final CompletableFuture<HttpReply> mReply;
        private final int mTimeoutMs;

        Pipeline(CompletableFuture<HttpReply> reply, int timeoutMs) {
            mReply = reply;
            mTimeoutMs = timeoutMs;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new ReadTimeoutHandler(mTimeoutMs, TimeUnit.MILLISECONDS))
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new Receiver(mReply));
        }
    }

    private static final class Receiver extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final CompletableFuture<HttpReply> mReply;

        Receiver(CompletableFuture<HttpReply> reply) {
            mReply = reply;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            byte[] body = new byte[response.content().readableBytes()];
            response.content().readBytes(body);
            mReply.complete(new HttpReply(response.status().code(), body));
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mReply.completeExceptionally(new IOException("closed before a whole answer came"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            mReply.completeExceptionally(new IOException("call failed", cause));
            context.close();
        }
    }
}
