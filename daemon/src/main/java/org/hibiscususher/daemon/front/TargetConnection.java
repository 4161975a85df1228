package org.hibiscususher.daemon.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;

/**
 * A connection to a target, which carries one attempt at a time.
 *
 * <p>Confined to its event loop. Closes itself if the target sends bytes without an attempt, which
 * could otherwise be taken for the response to the next one.
 */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {
    private final TargetConnectionPool mPool;
    private final String mAddress;
    private Channel mChannel;
    private Attempt mAttempt;
    private long mIdleSinceNs;

    TargetConnection(TargetConnectionPool pool, String address) {
        super(false);
        mPool = pool;
        mAddress = address;
    }

    void setChannel(Channel channel) {
        mChannel = channel;
    }

    String address() {
        return mAddress;
    }

    EventLoop eventLoop() {
        return mChannel.eventLoop();
    }

    boolean isActive() {
        return mChannel.isActive();
    }

    long idleSinceNs() {
        return mIdleSinceNs;
    }

    /**
     * Sends the request of an attempt.
     *
     * @param attempt receives the target's response
     * @param request request to send
     * @param onWritten called when the whole request is written
     */
    void send(Attempt attempt, FullHttpRequest request, Runnable onWritten) {
        mAttempt = attempt;
        mChannel.writeAndFlush(request)
                .addListener(
                        (ChannelFuture written) -> {
                            if (written.isSuccess()) {
                                onWritten.run();
                            } else {
                                mChannel.close();
                            }
                        });
    }

    /** Detaches the current attempt, so that the connection can be reused. */
    void markIdle(long nowNs) {
        mAttempt = null;
        mIdleSinceNs = nowNs;
        setReading(true);
    }

    void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    /** Closes the connection without notifying the attempt. */
    void close() {
        mAttempt = null;
        mChannel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mAttempt == null) {
            ReferenceCountUtil.release(message);
            context.close();
        } else {
            mAttempt.onMessage(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mAttempt != null) {
            mAttempt.onReadComplete();
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPool.onClosed(this);
        Attempt attempt = mAttempt;
        mAttempt = null;
        if (attempt != null) {
            attempt.onClosed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
