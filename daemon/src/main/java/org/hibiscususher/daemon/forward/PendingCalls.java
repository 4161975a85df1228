package org.hibiscususher.daemon.forward;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.hibiscususher.core.job.JobResponse;

/** Requests that await a response of the control thread, by call id. Thread-safe. */
public final class PendingCalls {
    private static final int MAX_PENDING = 20_000;

    private final ConcurrentMap<Long, Consumer<JobResponse>> mSinks = new ConcurrentHashMap<>();
    private final AtomicLong mLastId = new AtomicLong();

    /**
     * Registers a request.
     *
     * @param sink called with the response, on any thread
     * @return call id of the request, 0 if too many requests are pending
     */
    public long register(Consumer<JobResponse> sink) {
        if (mSinks.size() >= MAX_PENDING) {
            return 0;
        }
        long id = mLastId.incrementAndGet();
        mSinks.put(id, requireNonNull(sink));
        return id;
    }

    /** Passes a response to the sink of its request; ignores an unknown call id. */
    public void complete(long id, JobResponse response) {
        Consumer<JobResponse> sink = mSinks.remove(id);
        if (sink != null) {
            sink.accept(response);
        }
    }

    /** Passes one response to the sinks of all requests. */
    public void completeAll(JobResponse response) {
        mSinks.keySet().forEach(id -> complete(id, response));
    }

    /** Returns the number of pending requests. */
    public int size() {
        return mSinks.size();
    }
}
