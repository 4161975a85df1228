package org.hibiscususher.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;

/**
 * The bounded queue of inputs from all threads to the control thread. Thread-safe.
 *
 * @param <I> the type of the inputs
 */
public final class Inbox<I> {
    private static final int CAPACITY = 1 << 17;
    private static final int DROPPABLE_CAPACITY = CAPACITY / 2;

    private final ManyToOneConcurrentArrayQueue<I> mQueue =
            new ManyToOneConcurrentArrayQueue<>(CAPACITY);
    private volatile Thread mReader;

    /**
     * Adds an input that must not be lost.
     *
     * @throws IllegalStateException if the queue is full, which the bound on requests rules out
     */
    public void add(I input) {
        if (!mQueue.offer(requireNonNull(input))) {
            throw new IllegalStateException("the control thread's inbox is full");
        }
        LockSupport.unpark(mReader);
    }

    /** Adds an input unless the queue is half full; returns whether it was added. */
    public boolean offer(I input) {
        if (mQueue.size() >= DROPPABLE_CAPACITY) {
            return false;
        }
        add(input);
        return true;
    }

    /** Takes all inputs out, in order. */
    public List<I> drain() {
        List<I> inputs = new ArrayList<>();
        mQueue.drain(inputs::add, CAPACITY);
        return inputs;
    }

    /** Parks the calling thread until an input comes or the time is over. */
    public void await(long maxWaitNs) {
        mReader = Thread.currentThread();
        if (mQueue.isEmpty()) {
            LockSupport.parkNanos(this, maxWaitNs);
        }
        mReader = null;
    }
}
