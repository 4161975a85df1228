package org.hibiscususher.daemon.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
 * One request of a caller and its current attempt on a target, if any.
 *
 * <p>State is confined to the event loop of the caller's connection. The exchange ends exactly
 * once: with a response, with a refusal, with a reset of the caller's connection, or because the
 * caller has disconnected.
 */
final class Exchange {
    private final ExchangeTable mExchanges;
    private final long mId;
    private final Channel mCaller;
    private final FullHttpRequest mRequest;
    private final ParsedRequest mParsed;
    private final int mBodyBytes;
    private Attempt mAttempt;
    private boolean mAttempted;
    private boolean mResponseStarted;
    private boolean mEnded;

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
        mBodyBytes = request.content().readableBytes();
    }

    long id() {
        return mId;
    }

    /** Returns the size of the request's body in bytes; it is held until the exchange ends. */
    int bodyBytes() {
        return mBodyBytes;
    }

    boolean idempotent() {
        return mParsed.idempotent();
    }

    HttpMethod method() {
        return mRequest.method();
    }

    /** Starts an attempt on a target. May be called on any thread. */
    void start(StartAttempt start) {
        mCaller.eventLoop().execute(() -> startAttempt(start));
    }

    private void startAttempt(StartAttempt start) {
        if (mEnded) {
            mExchanges.reportCancelled(start);
            return;
        }
        mAttempted = true;
        mAttempt =
                new Attempt(
                        this,
                        start,
                        mExchanges.inbox(),
                        mExchanges.connectionPool(mCaller.eventLoop()));
        mAttempt.start();
    }

    /**
     * Ends the exchange with a refusal. May be called on any thread.
     *
     * <p>Resets the caller's connection if a response has started, since a refusal can't follow it.
     */
    void refuse(Refusal refusal) {
        mCaller.eventLoop().execute(() -> sendRefusal(refusal));
    }

    private void sendRefusal(Refusal refusal) {
        if (mEnded) {
            return;
        }
        if (mResponseStarted) {
            FrontHandler.reset(mCaller);
        } else {
            mExchanges.trackWrite(
                    mCaller.writeAndFlush(
                            RefusalResponse.of(mCaller, refusal, closesConnection())));
        }
        end();
    }

    /**
     * Ends the exchange although the control thread has not decided. May be called on any thread.
     */
    void refuseForShutdown() {
        mCaller.eventLoop().execute(this::abandonAndRefuse);
    }

    private void abandonAndRefuse() {
        if (mEnded) {
            return;
        }
        abandon();
        sendRefusal(mAttempted ? Refusal.OUTCOME_UNKNOWN : Refusal.ENTRY_LEAVING);
    }

    /** Returns whether the response is the last one on its connection. */
    private boolean closesConnection() {
        return mExchanges.leaving() && !FrontHandler.hasPipelined(mCaller);
    }

    /** Handles the end of the caller's connection. Called on the event loop. */
    void onCallerDisconnected() {
        if (mEnded) {
            return;
        }
        abandon();
        end();
    }

    /** Ends the request without a response of its attempt, if it has one. */
    private void abandon() {
        if (mAttempt == null) {
            mExchanges.inbox().add(new RequestCancelled(mId));
        } else {
            mAttempt.abandon();
        }
    }

    /**
     * Returns the request to send to a target.
     *
     * <p>It lacks the headers of the caller's connection, and the caller's secret, which targets
     * must not see.
     *
     * @param address IP number and port of the target
     */
    FullHttpRequest requestTo(String address) {
        HttpHeaders headers = mRequest.headers().copy();
        MessageHeaders.removeHopByHop(headers);
        headers.remove(HttpHeaderNames.AUTHORIZATION)
                .remove(HttpHeaderNames.EXPECT)
                .remove(HttpHeaderNames.CONTENT_LENGTH)
                .set(HttpHeaderNames.HOST, address);
        if (mBodyBytes > 0 || !usuallyHasNoBody(method())) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, mBodyBytes);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method(),
                mParsed.targetPath(),
                mRequest.content().retainedDuplicate(),
                headers,
                DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
    }

    private static boolean usuallyHasNoBody(HttpMethod method) {
        return method.equals(HttpMethod.GET) || method.equals(HttpMethod.HEAD);
    }

    /**
     * Forwards the status and headers of a response to the caller.
     *
     * <p>A chunked body stays chunked only for callers of HTTP/1.1; for older ones the end of the
     * connection ends the body.
     */
    void forwardHead(HttpResponse response) {
        mResponseStarted = true;
        HttpHeaders headers = response.headers().copy();
        boolean chunked = HttpUtil.isTransferEncodingChunked(response);
        MessageHeaders.removeHopByHop(headers);
        HttpResponse forwarded =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers);
        if (chunked && mRequest.protocolVersion().isKeepAliveDefault()) {
            HttpUtil.setTransferEncodingChunked(forwarded, true);
        }
        if (closesConnection()) {
            HttpUtil.setKeepAlive(forwarded, false);
        }
        mCaller.write(forwarded);
    }

    /** Forwards a part of a response's body to the caller; it is released once written. */
    void forwardContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        ChannelFuture lastWrite = mCaller.write(content);
        if (last) {
            mExchanges.trackWrite(lastWrite);
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

    /** Resumes reading the response once the caller's send buffer has free space. */
    void onCallerWritable() {
        if (mAttempt != null) {
            mAttempt.resumeReading();
        }
    }

    /** Handles the outcome of the attempt; without a response the control thread decides. */
    void onAttemptEnded(AttemptOutcome outcome) {
        mAttempt = null;
        if (mEnded) {
            return;
        }
        switch (outcome) {
            case ANSWERED, SERVER_ERROR -> {
                mCaller.flush();
                end();
            }
            case TRUNCATED -> {
                FrontHandler.reset(mCaller);
                end();
            }
            default -> {
                // The control thread starts another attempt or refuses the request.
            }
        }
    }

    private void end() {
        mEnded = true;
        mExchanges.remove(this);
        mRequest.release();
        FrontHandler.startNext(mCaller);
    }

    /** Returns the input for an attempt that did not start because its caller had disconnected. */
    static AttemptEnded cancelledBeforeStart(StartAttempt start) {
        return new AttemptEnded(start.requestId(), start.attempt(), AttemptOutcome.CANCELLED);
    }
}
