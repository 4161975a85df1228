package org.hibiscususher.daemon.forward;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.hibiscususher.core.job.JobResponse;

/** The requests that were handed to the control thread and wait for an answer. Thread-safe. */
public final class PendingCalls {
    private static final int MAX_PENDING = 20_000;

    private final ConcurrentMap<Long, Consumer<JobResponse>> mSinks = new ConcurrentHashMap<>();
    private final AtomicLong mNextId = new AtomicLong();

    /**
     * Keeps where an answer goes, and returns the id of the request; 0 if there are too many.
     *
     * @param sink takes the answer, on any thread
     */
    public long register(Consumer<JobResponse> sink) {
        if (mSinks.size() >= MAX_PENDING) {
            return 0;
        }
        long id = mNextId.incrementAndGet();
        mSinks.put(id, requireNonNull(sink));
        return id;
    }

    /** Hands an answer to where it goes; an id that is not known is passed over. */
    public void complete(long id, JobResponse answer) {
        Consumer<JobResponse> sink = mSinks.remove(id);
        if (sink != null) {
            sink.accept(answer);
        }
    }

    /** Returns how many requests wait. */
    public int size() {
        return mSinks.size();
    }
}
