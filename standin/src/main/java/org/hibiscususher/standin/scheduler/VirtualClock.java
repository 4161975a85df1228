package org.hibiscususher.standin.scheduler;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time and what is due in it. */
final class VirtualClock {
    private final PriorityQueue<Due> mDue =
            new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::order));
    private long mNowMs;
    private long mOrder;

    /** Returns the time in milliseconds. */
    long nowMs() {
        return mNowMs;
    }

    /** Runs something later. */
    void after(long delayMs, Runnable task) {
        mDue.add(new Due(mNowMs + Math.max(0, delayMs), mOrder++, task));
    }

    /** Runs everything that is due until a time. */
    void runUntil(long untilMs) {
        while (!mDue.isEmpty() && mDue.peek().atMs() <= untilMs) {
            Due due = mDue.poll();
            mNowMs = due.atMs();
            due.task().run();
        }
        mNowMs = untilMs;
    }

    private record Due(long atMs, long order, Runnable task) {}
}
