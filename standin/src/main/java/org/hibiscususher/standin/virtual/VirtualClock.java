package org.hibiscususher.standin.virtual;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Tasks in order of virtual time. Not thread-safe. */
public final class VirtualClock {
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atMs).thenComparingLong(Task::sequence));
    private long mNowMs;
    private long mSequence;

    private record Task(long atMs, long sequence, Runnable action) {}

    VirtualClock(long startMs) {
        mNowMs = startMs;
    }

    /** Returns the virtual time in milliseconds. */
    public long nowMs() {
        return mNowMs;
    }

    /** Runs an action after a delay in milliseconds, after others due at the same time. */
    public void after(long delayMs, Runnable action) {
        mTasks.add(new Task(mNowMs + delayMs, mSequence++, requireNonNull(action)));
    }

    /** Moves the time on by one millisecond and runs what is due. */
    void advance() {
        mNowMs++;
        while (!mTasks.isEmpty() && mTasks.peek().atMs() <= mNowMs) {
            mTasks.poll().action().run();
        }
    }
}
