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
 * Answers each request with the host's name, the path and the body, after a run time, and tells how
 * many times each named request has run.
 */
final class TargetHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String RUNS_PATH = "/stand-in/runs";

    private final String mHost;
    private final RunCounter mRuns;

    TargetHandler(String host, RunCounter runs) {
        mHost = host;
        mRuns = runs;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (request.uri().equals(RUNS_PATH)) {
            reply(context, mRuns.toText());
            return;
        }
        mRuns.increment(request.headers().get("Request-Name", "-"));
        String answer =
                mHost
                        + " ran "
                        + request.uri()
                        + " "
                        + request.content().toString(StandardCharsets.UTF_8);
        int runMs = request.headers().getInt("Run-Ms", 0);
        context.executor().schedule(() -> reply(context, answer), runMs, TimeUnit.MILLISECONDS);
    }

    private static void reply(ChannelHandlerContext context, String answer) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Unpooled.copiedBuffer(answer, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        context.writeAndFlush(response);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
