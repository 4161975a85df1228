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

/**
 * An HTTP client that opens a connection for each request and closes it after the response. Bodies
 * are held in memory whole, so it suits occasional requests with small bodies. Thread-safe.
 */
public final class OneShotHttpClient {
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

    private final EventLoopGroup mGroup;
    private final int mTimeoutMs;

    private OneShotHttpClient(EventLoopGroup group, int timeoutMs) {
        mGroup = group;
        mTimeoutMs = timeoutMs;
    }

    /**
     * Creates a client.
     *
     * @param group event loops that run the requests; whoever created them shuts them down
     * @param timeoutMs how long to wait for the connection, and then each time for further bytes
     *     from the server, in milliseconds
     */
    public static OneShotHttpClient create(EventLoopGroup group, int timeoutMs) {
        return new OneShotHttpClient(group, timeoutMs);
    }

    /**
     * Sends a request and returns a future of the response, whatever its status. The future fails
     * with an {@link IOException} if no complete response arrives in time, or one whose body
     * exceeds {@value #MAX_RESPONSE_BYTES} bytes.
     *
     * @param address IP number and port of the server, as {@link Addresses#parse} reads it
     * @param method HTTP method
     * @param path path and query of the request URI
     * @param body bytes of the request's body; may be empty
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
                        .handler(new PipelineInitializer(reply, mTimeoutMs));
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
                                                "can't connect to " + address, connected.cause()));
                            }
                        });
        return reply;
    }

    private static final class PipelineInitializer extends ChannelInitializer<Channel> {
        private final CompletableFuture<HttpReply> mReply;
        private final int mTimeoutMs;

        PipelineInitializer(CompletableFuture<HttpReply> reply, int timeoutMs) {
            mReply = reply;
            mTimeoutMs = timeoutMs;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new ReadTimeoutHandler(mTimeoutMs, TimeUnit.MILLISECONDS))
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                    .addLast(new ResponseHandler(mReply));
        }
    }

    private static final class ResponseHandler
            extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final CompletableFuture<HttpReply> mReply;

        ResponseHandler(CompletableFuture<HttpReply> reply) {
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
            mReply.completeExceptionally(
                    new IOException("connection closed before the response was complete"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            mReply.completeExceptionally(new IOException("HTTP request failed", cause));
            context.close();
        }
    }
}
