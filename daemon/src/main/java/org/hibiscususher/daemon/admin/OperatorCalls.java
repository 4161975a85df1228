package org.hibiscususher.daemon.admin;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.daemon.control.Inbox;

/** Calls of operators that wait for the control thread's answer. Thread-safe. */
public final class OperatorCalls {
    private final Map<Long, CompletableFuture<Output>> mCalls = new ConcurrentHashMap<>();
    private final AtomicLong mIds = new AtomicLong();
    private final Inbox<Input> mInbox;

    private OperatorCalls(Inbox<Input> inbox) {
        mInbox = inbox;
    }

    /** Creates an empty table of calls. */
    public static OperatorCalls create(Inbox<Input> inbox) {
        return new OperatorCalls(inbox);
    }

    /** Answers a call. */
    public void complete(long callId, Output answer) {
        CompletableFuture<Output> call = mCalls.remove(callId);
        if (call != null) {
            call.complete(answer);
        }
    }

    CompletableFuture<Output> call(LongFunction<Input> input) {
        long id = mIds.incrementAndGet();
        CompletableFuture<Output> call = new CompletableFuture<>();
        mCalls.put(id, call);
        mInbox.add(input.apply(id));
        return call;
    }
}
