package org.hibiscususher.daemon.admin;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.daemon.control.Inbox;

/** Operators' requests that await a reply of the control thread, by call id. Thread-safe. */
public final class OperatorCalls {
    /** Time after which a call without a reply fails, in seconds. */
    private static final long REPLY_TIMEOUT_S = 25;

    private static final String UNKNOWN = "a command may have been carried out";

    private final Map<Long, CompletableFuture<Output>> mPending = new ConcurrentHashMap<>();
    private final AtomicLong mLastId = new AtomicLong();
    private final Inbox<Input> mInbox;

    private OperatorCalls(Inbox<Input> inbox) {
        mInbox = inbox;
    }

    /**
     * Creates an empty table of calls.
     *
     * @param inbox receives the requests
     */
    public static OperatorCalls create(Inbox<Input> inbox) {
        return new OperatorCalls(inbox);
    }

    /** Completes a call with the control thread's reply; ignores an unknown call id. */
    public void complete(long callId, Output reply) {
        CompletableFuture<Output> call = mPending.remove(callId);
        if (call != null) {
            call.complete(reply);
        }
    }

    /** Fails the calls that have no reply yet, since none will come. */
    public void failAll() {
        mPending.keySet().forEach(id -> fail(id, "the entry has ended; " + UNKNOWN));
    }

    /**
     * Submits a request to the control thread.
     *
     * @param input creates the request's input from its call id
     * @return future of the reply; fails with a {@link TimeoutException} if none comes
     */
    CompletableFuture<Output> submit(LongFunction<Input> input) {
        long id = mLastId.incrementAndGet();
        CompletableFuture<Output> call = new CompletableFuture<>();
        mPending.put(id, call);
        if (!mInbox.offer(input.apply(id))) {
            fail(id, "the entry has too much to do; nothing was carried out");
        }
        CompletableFuture.delayedExecutor(REPLY_TIMEOUT_S, TimeUnit.SECONDS)
                .execute(() -> fail(id, "no reply came; " + UNKNOWN));
        return call;
    }

    private void fail(long id, String reason) {
        CompletableFuture<Output> call = mPending.remove(id);
        if (call != null) {
            call.completeExceptionally(new TimeoutException(reason));
        }
    }
}
