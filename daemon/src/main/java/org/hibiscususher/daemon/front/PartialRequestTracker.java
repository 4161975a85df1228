package org.hibiscususher.daemon.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Records whether bytes of a caller were read since its last complete request. */
final class PartialRequestTracker extends ChannelInboundHandlerAdapter {
    private boolean mPartial;

    /** Returns whether a request was read in part. */
    boolean isPartial() {
        return mPartial;
    }

    /** Records that a request is complete. */
    void onRequestComplete() {
        mPartial = false;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mPartial = true;
        context.fireChannelRead(message);
    }
}
