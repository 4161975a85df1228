package org.hibiscususher.daemon.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
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
    private final PartialRequestTracker mTracker;
    private final Deque<FullHttpRequest> mPipelined = new ArrayDeque<>();
    private Exchange mCurrent;
    private ChannelFuture mLastWrite;
    private boolean mIdleBefore;

    FrontHandler(ExchangeTable exchanges, PartialRequestTracker tracker) {
        super(false);
        mExchanges = exchanges;
        mTracker = tracker;
    }

    /**
     * Closes a connection if it is idle at two calls in a row: no request was read, also in part,
     * that has no complete response.
     *
     * <p>Bytes that had arrived before the first call were read before the second.
     */
    static void closeIfIdle(Channel caller) {
        onEventLoop(caller, h -> h.closeIfIdleNow(caller));
    }

    private void closeIfIdleNow(Channel caller) {
        boolean idle = mCurrent == null && mPipelined.isEmpty() && !mTracker.isPartial();
        boolean wasIdle = mIdleBefore;
        mIdleBefore = idle && !isWriting();
        if (wasIdle && mIdleBefore) {
            caller.close();
        }
    }

    /** Resets a connection whose response is not completely written. */
    static void resetIfWriting(Channel caller) {
        onEventLoop(caller, h -> h.resetIfWritingNow(caller));
    }

    private void resetIfWritingNow(Channel caller) {
        if (isWriting()) {
            reset(caller);
        }
    }

    /**
     * Resets a caller's connection.
     *
     * <p>An orderly close would mark the end of a response without a length, so that the caller
     * would take a truncated response for a complete one.
     */
    static void reset(Channel caller) {
        caller.config().setOption(ChannelOption.SO_LINGER, 0);
        caller.close();
    }

    private boolean isWriting() {
        return mLastWrite != null && !mLastWrite.isDone();
    }

    private static void onEventLoop(Channel caller, Consumer<FrontHandler> action) {
        FrontHandler handler = caller.pipeline().get(FrontHandler.class);
        if (handler != null) {
            caller.eventLoop().execute(() -> action.accept(handler));
        }
    }

    /** Records the last write of a response. Called on the event loop. */
    static void trackWrite(ChannelFuture lastWrite) {
        FrontHandler handler = lastWrite.channel().pipeline().get(FrontHandler.class);
        if (handler != null) {
            handler.mLastWrite = lastWrite;
        }
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
        mTracker.onRequestComplete();
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
            mExchanges.trackWrite(
                    caller.writeAndFlush(
                            RefusalResponse.of(caller, Refusal.REQUEST_MALFORMED, true)));
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
