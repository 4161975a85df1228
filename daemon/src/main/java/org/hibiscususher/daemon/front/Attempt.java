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
 * One sending of a request to a target. Reports its end exactly once.
 *
 * <p>Belongs to the event loop of the caller's connection, on which the connection to the target
 * runs as well.
 */
final class Attempt {
    private final Exchange mExchange;
    private final StartAttempt mStart;
    private final Inbox<Input> mInbox;
    private final TargetConnectionPool mConnections;
    private AttemptStage mStage = AttemptStage.CONNECTING;
    private TargetConnection mConnection;
    private Future<?> mRunLimit;
    private Future<?> mLongestRun;
    private boolean mReused;
    private boolean mWritten;
    private boolean mReusable;
    private boolean mInformational;
    private boolean mServerError;

    Attempt(
            Exchange exchange,
            StartAttempt start,
            Inbox<Input> inbox,
            TargetConnectionPool connections) {
        mExchange = exchange;
        mStart = start;
        mInbox = inbox;
        mConnections = connections;
    }

    /**
     * Takes an idle connection or makes one, and sends the request.
     *
     * <p>Work that must not run twice gets a connection of its own: on an idle one that the target
     * is about to close, it would end as unknown without need.
     */
    void begin() {
        TargetConnection idle =
                mExchange.idempotent() ? mConnections.takeIdle(mStart.address()) : null;
        if (idle == null) {
            mConnections.connect(mStart.address(), this::connected);
        } else {
            mReused = true;
            send(idle);
        }
    }

    private void connected(TargetConnection connection) {
        if (mStage == AttemptStage.OVER || mStage == AttemptStage.ABANDONED) {
            connection.close();
            end(mStage.whenClosed());
        } else if (!connection.active()) {
            end(mStage.whenClosed());
        } else {
            send(connection);
        }
    }

    private void send(TargetConnection connection) {
        mStage = AttemptStage.SENT;
        mConnection = connection;
        mWritten = false;
        if (mRunLimit == null) {
            mRunLimit =
                    connection
                            .eventLoop()
                            .schedule(
                                    this::runLimitPassed,
                                    mStart.runLimitMs(),
                                    TimeUnit.MILLISECONDS);
            mLongestRun =
                    connection
                            .eventLoop()
                            .schedule(
                                    () -> end(mStage.whenClosed()),
                                    mStart.longestRunMs(),
                                    TimeUnit.MILLISECONDS);
        }
        FullHttpRequest request = mExchange.requestFor(mStart.address());
        connection.send(this, request, () -> mWritten = true);
    }

    /** Tells the caller's side that no answer came in time; the target may still be running. */
    private void runLimitPassed() {
        if (mStage == AttemptStage.SENT) {
            mStage = AttemptStage.ABANDONED;
            mInbox.add(ended(AttemptOutcome.TIMED_OUT));
            mExchange.attemptEnded(AttemptOutcome.TIMED_OUT);
        }
    }

    /** Takes a part of the target's answer, and releases it. */
    void received(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            end(mStage.whenClosed());
            return;
        }
        if (message instanceof HttpResponse response) {
            head(response);
        }
        if (message instanceof HttpContent content) {
            body(content);
        }
    }

    private void head(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mInformational = true;
            if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                end(mStage.whenClosed());
            }
            return;
        }
        mReusable = HttpUtil.isKeepAlive(response);
        mServerError = response.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (mStage != AttemptStage.SENT) {
            return;
        }
        if (MessageHeaders.saysNotRun(response)) {
            end(AttemptOutcome.DECLINED);
        } else if (!MessageHeaders.showsItsEnd(response, mExchange.method())) {
            end(AttemptOutcome.BROKEN);
        } else {
            mStage = AttemptStage.ANSWERING;
            mExchange.answer(response);
        }
    }

    private void body(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mInformational) {
            mInformational = !last;
            content.release();
            return;
        }
        if (mStage == AttemptStage.ANSWERING) {
            mExchange.answer(content);
            if (!last && !mExchange.callerWritable()) {
                mConnection.setReading(false);
            }
        } else {
            content.release();
        }
        if (last) {
            answered();
        }
    }

    private void answered() {
        if (mStage == AttemptStage.OVER) {
            return;
        }
        if (mReusable && mWritten && mExchange.method() != HttpMethod.CONNECT) {
            mConnections.giveBack(mConnection);
            mConnection = null;
        }
        end(mServerError ? AttemptOutcome.SERVER_ERROR : AttemptOutcome.ANSWERED);
    }

    /** Passes on to the caller what was read. */
    void readComplete() {
        if (mStage == AttemptStage.ANSWERING) {
            mExchange.flush();
        }
    }

    /** Reads on once the caller's connection takes more bytes. */
    void callerWritable() {
        if (mConnection != null) {
            mConnection.setReading(true);
        }
    }

    /** Notes that the target closed the connection. */
    void closed() {
        boolean staleConnection = mStage == AttemptStage.SENT && mReused;
        if (staleConnection) {
            mReused = false;
            mConnection = null;
            mConnections.connect(mStart.address(), this::connected);
        } else {
            end(mStage.whenClosed());
        }
    }

    /** Notes that the caller went away. */
    void callerGone() {
        if (mStage == AttemptStage.CONNECTING) {
            end(AttemptOutcome.CANCELLED);
        } else if (mStage != AttemptStage.OVER && mStage != AttemptStage.ABANDONED) {
            mStage = AttemptStage.ABANDONED;
            mInbox.add(ended(AttemptOutcome.CALLER_GONE));
            callerWritable();
        }
    }

    private void end(AttemptOutcome outcome) {
        AttemptStage stage = mStage;
        if (stage == AttemptStage.OVER) {
            return;
        }
        mStage = AttemptStage.OVER;
        if (mRunLimit != null) {
            mRunLimit.cancel(false);
            mLongestRun.cancel(false);
        }
        if (mConnection != null) {
            mConnection.close();
        }
        if (stage == AttemptStage.ABANDONED) {
            mInbox.add(new TargetFinished(mStart.requestId(), mStart.attempt()));
        } else {
            mInbox.add(ended(outcome));
            mExchange.attemptEnded(outcome);
        }
    }

    private AttemptEnded ended(AttemptOutcome outcome) {
        return new AttemptEnded(mStart.requestId(), mStart.attempt(), outcome);
    }
}
