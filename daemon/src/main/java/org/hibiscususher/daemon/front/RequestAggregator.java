package org.hibiscususher.daemon.front;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import org.hibiscususher.core.message.Refusal;

/**
 * Assembles complete requests and refuses those with too large a body.
 *
 * <p>In place of the empty responses of its superclass, sends ones that name the refusal, and
 * counts them.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private final ExchangeTable mExchanges;

    RequestAggregator(int maxBytes, ExchangeTable exchanges) {
        super(maxBytes);
        mExchanges = exchanges;
    }

    @Override
    protected Object newContinueResponse(
            HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        if (start.decoderResult().isFailure()) {
            // The request is malformed; its length may be no number.
            return null;
        }
        if (HttpUtil.is100ContinueExpected(start)
                && HttpUtil.getContentLength(start, -1L) > maxContentLength) {
            mExchanges.countRefusal(Refusal.REQUEST_TOO_LARGE);
            return RefusalResponse.of(pipeline.channel(), Refusal.REQUEST_TOO_LARGE, true);
        }
        return super.newContinueResponse(start, maxContentLength, pipeline);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        mExchanges.countRefusal(Refusal.REQUEST_TOO_LARGE);
        ChannelFuture written =
                context.writeAndFlush(
                        RefusalResponse.of(context.channel(), Refusal.REQUEST_TOO_LARGE, true));
        mExchanges.trackWrite(written);
        written.addListener(ChannelFutureListener.CLOSE);
    }
}
