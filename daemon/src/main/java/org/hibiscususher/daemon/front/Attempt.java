package org.hibiscususher.daemon.front;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Input.AttemptEnded;
import org.hibiscususher.core.message.Input.TargetFinished;
import org.hibiscususher.core.message.Output.StartAttempt;
import org.hibiscususher.daemon.control.Inbox;

/**
 * One attempt to run a request on a target.
 *
 * <p>Reports its outcome to the control thread exactly once. If the caller stops waiting while the
 * target may still be running, the outcome is reported at once and the connection stays open; a
 * {@link TargetDone} follows when the target responds, closes the connection or exceeds the longest
 * run. Until then the target still uses the capacity.
 *
 * <p>Confined to the event loop of the caller's connection, which the connection to the target
 * shares.
 */
final class Attempt {
    private final Exchange mExchange;
    private final StartAttempt mStart;
    private final Inbox<Input> mInbox;
    private final TargetConnectionPool mConnectionPool;
    private AttemptStage mStage = AttemptStage.CONNECTING;
    private TargetConnection mConnection;
    private Future<?> mRunLimitTimer;
    private Future<?> mLongestRunTimer;
    private boolean mOnReusedConnection;
    private boolean mRequestWritten;
    private boolean mKeepAlive;
    private boolean mSkippingInformational;
    private boolean mServerError;

    Attempt(
            Exchange exchange,
            StartAttempt start,
            Inbox<Input> inbox,
            TargetConnectionPool connectionPool) {
        mExchange = exchange;
        mStart = start;
        mInbox = inbox;
        mConnectionPool = connectionPool;
    }

    /**
     * Sends the request on an idle connection or a new one.
     *
     * <p>A request that is not idempotent gets a new connection. If the target closes an idle
     * connection just as the request is sent, it is unknown whether the request has run; only an
     * idempotent request can then be repeated.
     */
    void start() {
        TargetConnection idle =
                mExchange.idempotent() ? mConnectionPool.pollIdle(mStart.address()) : null;
        if (idle == null) {
            mConnectionPool.connect(mStart.address(), this::onConnected);
        } else {
            mOnReusedConnection = true;
            send(idle);
        }
    }

    private void onConnected(TargetConnection connection) {
        if (mStage == AttemptStage.ENDED || mStage == AttemptStage.ABANDONED) {
            connection.close();
            end(mStage.outcomeIfClosed());
        } else if (!connection.isActive()) {
            end(mStage.outcomeIfClosed());
        } else {
            send(connection);
        }
    }

    private void send(TargetConnection connection) {
        mStage = AttemptStage.SENT;
        mConnection = connection;
        mRequestWritten = false;
        if (mRunLimitTimer == null) {
            mRunLimitTimer =
                    connection
                            .eventLoop()
                            .schedule(this::onRunLimit, mStart.runLimitMs(), TimeUnit.MILLISECONDS);
            mLongestRunTimer =
                    connection
                            .eventLoop()
                            .schedule(
                                    () -> end(mStage.outcomeIfClosed()),
                                    mStart.longestRunMs(),
                                    TimeUnit.MILLISECONDS);
        }
        FullHttpRequest request = mExchange.requestTo(mStart.address());
        connection.send(this, request, () -> mRequestWritten = true);
    }

    /** Ends the attempt for the caller without a response; the target may still be running. */
    private void onRunLimit() {
        if (mStage == AttemptStage.SENT) {
            mStage = AttemptStage.ABANDONED;
            mInbox.add(inputFor(AttemptOutcome.TIMED_OUT));
            mExchange.onAttemptEnded(AttemptOutcome.TIMED_OUT);
        }
    }

    /** Forwards a part of the target's response to the caller, or releases it. */
    void onMessage(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            end(mStage.outcomeIfClosed());
            return;
        }
        if (message instanceof HttpResponse response) {
            onHead(response);
        }
        if (message instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onHead(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mSkippingInformational = true;
            if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                end(mStage.outcomeIfClosed());
            }
            return;
        }
        mKeepAlive = HttpUtil.isKeepAlive(response);
        mServerError = response.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (mStage != AttemptStage.SENT) {
            return;
        }
        if (MessageHeaders.isNotRun(response)) {
            end(AttemptOutcome.DECLINED);
        } else if (!MessageHeaders.isDelimited(response, mExchange.method())) {
            end(AttemptOutcome.BROKEN);
        } else {
            mStage = AttemptStage.RESPONDING;
            mExchange.forwardHead(response);
        }
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mSkippingInformational) {
            mSkippingInformational = !last;
            content.release();
            return;
        }
        if (mStage == AttemptStage.RESPONDING) {
            mExchange.forwardContent(content);
            if (!last && !mExchange.callerWritable()) {
                mConnection.setReading(false);
            }
        } else {
            content.release();
        }
        if (last) {
            onLastContent();
        }
    }

    private void onLastContent() {
        if (mStage == AttemptStage.ENDED) {
            return;
        }
        if (mKeepAlive && mRequestWritten && mExchange.method() != HttpMethod.CONNECT) {
            mConnectionPool.release(mConnection);
            mConnection = null;
        }
        end(mServerError ? AttemptOutcome.SERVER_ERROR : AttemptOutcome.ANSWERED);
    }

    /** Flushes the parts of the response that were written to the caller. */
    void onReadComplete() {
        if (mStage == AttemptStage.RESPONDING) {
            mExchange.flush();
        }
    }

    /** Resumes reading from the target, which pauses while the caller's send buffer is full. */
    void resumeReading() {
        if (mConnection != null) {
            mConnection.setReading(true);
        }
    }

    /**
     * Handles the end of the connection to the target.
     *
     * <p>If an idle connection was reused and closes before a response, the target has most likely
     * closed it for being idle; the request, which is idempotent, is sent again on a new one.
     */
    void onClosed() {
        boolean wasStale = mStage == AttemptStage.SENT && mOnReusedConnection;
        if (wasStale) {
            mOnReusedConnection = false;
            mConnection = null;
            mConnectionPool.connect(mStart.address(), this::onConnected);
        } else {
            end(mStage.outcomeIfClosed());
        }
    }

    /**
     * Ends the attempt for a caller who no longer gets its response: cancels it if nothing was
     * sent, else reads and drops the response.
     */
    void abandon() {
        if (mStage == AttemptStage.CONNECTING) {
            end(AttemptOutcome.CANCELLED);
        } else if (mStage != AttemptStage.ENDED && mStage != AttemptStage.ABANDONED) {
            mStage = AttemptStage.ABANDONED;
            mInbox.add(inputFor(AttemptOutcome.CALLER_GONE));
            resumeReading();
        }
    }

    private void end(AttemptOutcome outcome) {
        AttemptStage stage = mStage;
        if (stage == AttemptStage.ENDED) {
            return;
        }
        mStage = AttemptStage.ENDED;
        if (mRunLimitTimer != null) {
            mRunLimitTimer.cancel(false);
            mLongestRunTimer.cancel(false);
        }
        if (mConnection != null) {
            mConnection.close();
        }
        if (stage == AttemptStage.ABANDONED) {
            mInbox.add(new TargetFinished(mStart.requestId(), mStart.attempt()));
        } else {
            mInbox.add(inputFor(outcome));
            mExchange.onAttemptEnded(outcome);
        }
    }

    private AttemptEnded inputFor(AttemptOutcome outcome) {
        return new AttemptEnded(mStart.requestId(), mStart.attempt(), outcome);
    }
}
