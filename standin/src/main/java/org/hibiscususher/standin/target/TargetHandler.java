package org.hibiscususher.standin.target;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Responds to each request with the host's name, the path and the request's body. The header {@code
 * Run-Ms} sets the delay of the response, and {@code Request-Name} the name under which the run is
 * counted. {@code /stand-in/runs} returns the counts.
 */
final class TargetHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String RUNS_PATH = "/stand-in/runs";

    private final String mHost;
    private final RunCounter mRunCounter;

    TargetHandler(String host, RunCounter runCounter) {
        mHost = host;
        mRunCounter = runCounter;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (request.uri().equals(RUNS_PATH)) {
            reply(context, mRunCounter.toText());
            return;
        }
        mRunCounter.increment(request.headers().get("Request-Name", "-"));
        String body =
                mHost
                        + " ran "
                        + request.uri()
                        + " "
                        + request.content().toString(StandardCharsets.UTF_8);
        int runMs = request.headers().getInt("Run-Ms", 0);
        context.executor().schedule(() -> reply(context, body), runMs, TimeUnit.MILLISECONDS);
    }

    private static void reply(ChannelHandlerContext context, String body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        context.writeAndFlush(response);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
