package org.hibiscususher.daemon.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;

/** A connection to a target, which carries one attempt at a time. Belongs to its event loop. */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {
    private final TargetConnectionPool mOwner;
    private final String mAddress;
    private Channel mChannel;
    private Attempt mAttempt;
    private long mIdleSinceNs;

    TargetConnection(TargetConnectionPool owner, String address) {
        super(false);
        mOwner = owner;
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

    boolean active() {
        return mChannel.isActive();
    }

    long idleSinceNs() {
        return mIdleSinceNs;
    }

    /** Sends a request for an attempt, which then gets all that the target sends. */
    void send(Attempt attempt, FullHttpRequest request, Runnable whenWritten) {
        mAttempt = attempt;
        mChannel.writeAndFlush(request)
                .addListener(
                        (ChannelFuture written) -> {
                            if (written.isSuccess()) {
                                whenWritten.run();
                            } else {
                                mChannel.close();
                            }
                        });
    }

    /** Ends the use by the current attempt. */
    void idle(long nowNs) {
        mAttempt = null;
        mIdleSinceNs = nowNs;
        setReading(true);
    }

    void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    /** Closes the connection; the attempt hears no more of it. */
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
            mAttempt.received(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mAttempt != null) {
            mAttempt.readComplete();
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mOwner.closed(this);
        Attempt attempt = mAttempt;
        mAttempt = null;
        if (attempt != null) {
            attempt.closed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
