package org.hibiscususher.daemon.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.AttemptEnded;
import org.hibiscususher.core.message.Input.RequestCancelled;
import org.hibiscususher.core.message.Output.StartAttempt;
import org.hibiscususher.core.message.Refusal;

/**
 * One request on the traffic side: what the caller sent, and the attempt that is under way.
 *
 * <p>All state belongs to the event loop of the caller's connection. The request ends once: with an
 * answer, a refusal, a broken connection, or because its caller went away.
 */
final class Exchange {
    private final ExchangeTable mExchanges;
    private final long mId;
    private final Channel mCaller;
    private final FullHttpRequest mRequest;
    private final ParsedRequest mParsed;
    private final int mBytes;
    private Attempt mAttempt;
    private boolean mAnswerBegun;
    private boolean mOver;

    Exchange(
            ExchangeTable exchanges,
            Channel caller,
            FullHttpRequest request,
            ParsedRequest parsed) {
        mExchanges = exchanges;
        mId = exchanges.nextId();
        mCaller = caller;
        mRequest = request;
        mParsed = parsed;
        mBytes = request.content().readableBytes();
    }

    long id() {
        return mId;
    }

    /** Returns the size of the request's body, which is kept until the request ends. */
    int bytes() {
        return mBytes;
    }

    boolean idempotent() {
        return mParsed.idempotent();
    }

    HttpMethod method() {
        return mRequest.method();
    }

    /** Sends the request to a target. May be called on any thread. */
    void start(StartAttempt start) {
        mCaller.eventLoop().execute(() -> begin(start));
    }

    private void begin(StartAttempt start) {
        if (mOver) {
            mExchanges.cancelled(start);
            return;
        }
        mAttempt =
                new Attempt(
                        this,
                        start,
                        mExchanges.inbox(),
                        mExchanges.connections(mCaller.eventLoop()));
        mAttempt.begin();
    }

    /** Answers the caller without a target. May be called on any thread. */
    void refuse(Refusal refusal) {
        mCaller.eventLoop().execute(() -> answerRefusal(refusal));
    }

    private void answerRefusal(Refusal refusal) {
        if (mOver) {
            return;
        }
        if (mAnswerBegun) {
            breakOff();
        } else {
            mExchanges.track(
                    mCaller.writeAndFlush(
                            RefusalResponse.of(mCaller, refusal, mExchanges.leaving())));
        }
        finish();
    }

    /** Notes that the caller went away. Called on the event loop. */
    void callerGone() {
        if (mOver) {
            return;
        }
        if (mAttempt == null) {
            mExchanges.inbox().add(new RequestCancelled(mId));
        } else {
            mAttempt.callerGone();
        }
        finish();
    }

    /** Returns the request as the target shall get it. */
    FullHttpRequest requestFor(String address) {
        HttpHeaders headers = mRequest.headers().copy();
        MessageHeaders.removeHopByHop(headers);
        headers.remove(HttpHeaderNames.AUTHORIZATION)
                .remove(HttpHeaderNames.EXPECT)
                .remove(HttpHeaderNames.CONTENT_LENGTH)
                .set(HttpHeaderNames.HOST, address);
        if (mBytes > 0 || !bodiless(method())) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, mBytes);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method(),
                mParsed.targetPath(),
                mRequest.content().retainedDuplicate(),
                headers,
                DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
    }

    private static boolean bodiless(HttpMethod method) {
        return method.equals(HttpMethod.GET) || method.equals(HttpMethod.HEAD);
    }

    /** Passes the head of an answer on to the caller. */
    void answer(HttpResponse response) {
        mAnswerBegun = true;
        HttpHeaders headers = response.headers().copy();
        boolean chunked = HttpUtil.isTransferEncodingChunked(response);
        MessageHeaders.removeHopByHop(headers);
        HttpResponse answer =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers);
        if (chunked && mRequest.protocolVersion().isKeepAliveDefault()) {
            HttpUtil.setTransferEncodingChunked(answer, true);
        }
        if (mExchanges.leaving()) {
            HttpUtil.setKeepAlive(answer, false);
        }
        mCaller.write(answer);
    }

    /** Passes a part of an answer's body on to the caller. */
    void answer(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        ChannelFuture written = mCaller.write(content);
        if (last) {
            mExchanges.track(written);
        }
        if (!mCaller.isWritable()) {
            mCaller.flush();
        }
    }

    void flush() {
        mCaller.flush();
    }

    boolean callerWritable() {
        return mCaller.isWritable();
    }

    /** Reads more of the answer now that the caller's connection takes it. */
    void whenWritable() {
        if (mAttempt != null) {
            mAttempt.callerWritable();
        }
    }

    /** Notes the end of the attempt; the control thread decides what follows. */
    void attemptEnded(AttemptOutcome outcome) {
        mAttempt = null;
        if (mOver) {
            return;
        }
        switch (outcome) {
            case ANSWERED, SERVER_ERROR -> {
                mCaller.flush();
                finish();
            }
            case TRUNCATED -> {
                breakOff();
                finish();
            }
            default -> {
                // The control thread starts another attempt or refuses the request.
            }
        }
    }

    /** Resets the connection, so that the caller can't take a part for the whole. */
    private void breakOff() {
        mCaller.config().setOption(ChannelOption.SO_LINGER, 0);
        mCaller.close();
    }

    private void finish() {
        mOver = true;
        mExchanges.remove(this);
        mRequest.release();
        FrontHandler.next(mCaller);
    }

    /** Returns the report that an attempt never began because its caller had gone. */
    static AttemptEnded neverBegun(StartAttempt start) {
        return new AttemptEnded(start.requestId(), start.attempt(), AttemptOutcome.CANCELLED);
    }
}
