package org.hibiscususher.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import org.hibiscususher.core.message.Input;

/** The bounded queue of inputs from all threads to the control thread. Thread-safe. */
public final class Inbox {
    private static final int CAPACITY = 1 << 17;
    private static final int DROPPABLE_CAPACITY = CAPACITY / 2;

    private final ManyToOneConcurrentArrayQueue<Input> mQueue =
            new ManyToOneConcurrentArrayQueue<>(CAPACITY);
    private volatile Thread mReader;

    /**
     * Adds an input that must not be lost.
     *
     * @throws IllegalStateException if the queue is full, which the bound on requests rules out
     */
    public void add(Input input) {
        if (!mQueue.offer(requireNonNull(input))) {
            throw new IllegalStateException("the control thread's inbox is full");
        }
        LockSupport.unpark(mReader);
    }

    /** Adds an input unless the queue is half full; returns whether it was added. */
    public boolean offer(Input input) {
        if (mQueue.size() >= DROPPABLE_CAPACITY) {
            return false;
        }
        add(input);
        return true;
    }

    /** Takes all inputs out, in order. */
    public List<Input> drain() {
        List<Input> inputs = new ArrayList<>();
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
