package org.hibiscususher.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;

/**
 * Bounded queue of inputs from all threads to the control thread. Thread-safe; one thread reads.
 *
 * <p>Half of the capacity is reserved for inputs that must not be lost, such as the outcomes of
 * running requests, so that a flood of droppable inputs, such as new requests, can't crowd them
 * out.
 *
 * @param <I> type of the inputs
 */
public final class Inbox<I> {
    private static final int MAX_INPUTS = 1 << 17;
    private static final int MAX_DROPPABLE_INPUTS = MAX_INPUTS / 2;

    private final ManyToOneConcurrentArrayQueue<I> mQueue =
            new ManyToOneConcurrentArrayQueue<>(MAX_INPUTS);
    private volatile Thread mWaitingReader;

    /**
     * Adds an input that must not be lost.
     *
     * @throws IllegalStateException if the queue is full, which can't happen as long as the number
     *     of open requests is bounded
     */
    public void add(I input) {
        if (!mQueue.offer(requireNonNull(input))) {
            throw new IllegalStateException("the control thread's inbox is full");
        }
        LockSupport.unpark(mWaitingReader);
    }

    /** Adds an input unless the queue is at least half full; returns whether it was added. */
    public boolean offer(I input) {
        if (mQueue.size() >= MAX_DROPPABLE_INPUTS) {
            return false;
        }
        add(input);
        return true;
    }

    /** Removes and returns all inputs, in the order in which they were added. */
    public List<I> drain() {
        List<I> inputs = new ArrayList<>();
        mQueue.drain(inputs::add, MAX_INPUTS);
        return inputs;
    }

    /**
     * Parks the calling thread until an input arrives or the time has passed.
     *
     * <p>May return early without an input.
     *
     * @param maxWaitNs longest wait, in nanoseconds
     */
    public void await(long maxWaitNs) {
        // Published before the check: a producer that adds an input after the check finds the
        // thread and unparks it, so that no wake-up is lost.
        mWaitingReader = Thread.currentThread();
        if (mQueue.isEmpty()) {
            LockSupport.parkNanos(this, maxWaitNs);
        }
        mWaitingReader = null;
    }
}
