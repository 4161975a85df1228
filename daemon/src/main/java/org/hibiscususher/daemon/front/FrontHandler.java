package org.hibiscususher.daemon.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.hibiscususher.core.message.Refusal;

/**
 * Handles the requests of one caller's connection, one at a time.
 *
 * <p>Keeps reading while an exchange is open, since the end of the connection is noticed only by
 * reading. Stops once another, pipelined request has been read, which bounds the memory that a
 * caller can fill.
 */
final class FrontHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final ExchangeTable mExchanges;
    private final Deque<FullHttpRequest> mPipelined = new ArrayDeque<>();
    private Exchange mCurrent;

    FrontHandler(ExchangeTable exchanges) {
        super(false);
        mExchanges = exchanges;
    }

    /** Returns whether a further request was read that is not handled yet. */
    static boolean hasPipelined(Channel caller) {
        FrontHandler handler = caller.pipeline().get(FrontHandler.class);
        return handler != null && !handler.mPipelined.isEmpty();
    }

    /** Handles the caller's next request after an exchange has ended. */
    static void startNext(Channel caller) {
        FrontHandler handler = caller.pipeline().get(FrontHandler.class);
        if (handler != null) {
            handler.mCurrent = null;
            caller.eventLoop().execute(() -> handler.handleNextPipelined(caller));
        }
    }

    private void handleNextPipelined(Channel caller) {
        if (mCurrent != null || ((SocketChannel) caller).isOutputShutdown()) {
            return;
        }
        FullHttpRequest request = mPipelined.poll();
        if (request == null) {
            caller.config().setAutoRead(true);
        } else {
            handle(caller, request);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (mCurrent == null && mPipelined.isEmpty()) {
            handle(context.channel(), request);
        } else {
            mPipelined.add(request);
            context.channel().config().setAutoRead(false);
        }
    }

    private void handle(Channel caller, FullHttpRequest request) {
        Optional<ParsedRequest> parsed = ParsedRequest.of(request);
        if (parsed.isEmpty()) {
            request.release();
            mExchanges.countRefusal(Refusal.REQUEST_MALFORMED);
            caller.writeAndFlush(RefusalResponse.of(caller, Refusal.REQUEST_MALFORMED, true));
            return;
        }
        Exchange exchange = new Exchange(mExchanges, caller, request, parsed.get());
        mCurrent = exchange;
        if (!mExchanges.add(exchange)
                || !mExchanges.inbox().offer(parsed.get().toInput(exchange.id()))) {
            mExchanges.countRefusal(Refusal.ENTRY_OVERLOADED);
            exchange.refuse(Refusal.ENTRY_OVERLOADED);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable() && mCurrent != null) {
            mCurrent.onCallerWritable();
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && mCurrent == null) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPipelined.forEach(FullHttpRequest::release);
        mPipelined.clear();
        if (mCurrent != null) {
            mCurrent.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
