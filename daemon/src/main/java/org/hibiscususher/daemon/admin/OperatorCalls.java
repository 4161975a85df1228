package org.hibiscususher.daemon.admin;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.daemon.control.Inbox;

/** Operators' requests that await a reply of the control thread, by call id. Thread-safe. */
public final class OperatorCalls {
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

    /**
     * Submits a request to the control thread.
     *
     * @param input creates the request's input from its call id
     * @return future of the reply
     */
    CompletableFuture<Output> submit(LongFunction<Input> input) {
        long id = mLastId.incrementAndGet();
        CompletableFuture<Output> call = new CompletableFuture<>();
        mPending.put(id, call);
        mInbox.add(input.apply(id));
        return call;
    }
}
