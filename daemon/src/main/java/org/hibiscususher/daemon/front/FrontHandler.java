package org.hibiscususher.daemon.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Refusal;

/** Reads callers' requests from one connection, one at a time. */
final class FrontHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String BEARER = "Bearer ";
    private static final Set<HttpMethod> IDEMPOTENT =
            Set.of(
                    HttpMethod.GET,
                    HttpMethod.HEAD,
                    HttpMethod.PUT,
                    HttpMethod.DELETE,
                    HttpMethod.OPTIONS);

    private final Exchanges mExchanges;
    private Exchange mCurrent;
    private Runnable mWhenWritable;

    FrontHandler(Exchanges exchanges) {
        super(false);
        mExchanges = exchanges;
    }

    /** Reads the next request of a caller after one has ended. */
    static void next(Channel caller) {
        FrontHandler handler = caller.pipeline().get(FrontHandler.class);
        if (handler != null) {
            handler.mCurrent = null;
            handler.mWhenWritable = null;
            caller.config().setAutoRead(true);
        }
    }

    /** Runs the task once the caller's connection takes more bytes. */
    static void whenWritable(Channel caller, Runnable task) {
        FrontHandler handler = caller.pipeline().get(FrontHandler.class);
        if (handler != null) {
            handler.mWhenWritable = task;
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        context.channel().config().setAutoRead(false);
        String path = request.uri();
        int end = path.indexOf('/', 1);
        String queue = end < 0 ? path.substring(1) : path.substring(1, end);
        String rest = end < 0 ? "/" : path.substring(end);
        mCurrent = new Exchange(mExchanges, context.channel(), request, rest);
        HttpHeaders headers = request.headers();
        RequestArrived arrived =
                new RequestArrived(
                        mCurrent.id(),
                        queue,
                        digestOf(headers.get(HttpHeaderNames.AUTHORIZATION)),
                        IDEMPOTENT.contains(request.method()) || headers.contains("Idempotent"),
                        headers.get("Idempotency-Key", ""),
                        Math.max(0, headers.getInt("Wait-Limit-Ms", 0)),
                        new Capacity(
                                Math.max(0, headers.getInt("Needs-Cores", 0)),
                                Math.max(0, headers.getInt("Needs-Memory-Gb", 0)),
                                Math.max(0, headers.getInt("Needs-Accelerators", 0))));
        if (!mExchanges.add(mCurrent) || !mExchanges.inbox().offer(arrived)) {
            mCurrent.refuse(Refusal.ENTRY_OVERLOADED);
        }
    }

    private static Optional<KeyDigest> digestOf(String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        return Optional.of(KeyDigest.ofSecret(authorization.substring(BEARER.length()).trim()));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable() && mWhenWritable != null) {
            Runnable task = mWhenWritable;
            mWhenWritable = null;
            task.run();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mCurrent != null) {
            mCurrent.callerGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
