package org.hibiscususher.standin.scheduler;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock with a queue of events. Events that are due at the same millisecond run in the
 * order in which they were added, so that a run is reproducible.
 */
final class VirtualClock {
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private long mNowMs;
    private long mNextSequence;

    /** Returns the virtual time in milliseconds. */
    long nowMs() {
        return mNowMs;
    }

    /** Schedules an action; a negative delay counts as none. */
    void after(long delayMs, Runnable action) {
        mEvents.add(new Event(mNowMs + Math.max(0, delayMs), mNextSequence++, action));
    }

    /** Runs, in order, the actions that are due until a time, and sets the clock to that time. */
    void runUntil(long untilMs) {
        while (!mEvents.isEmpty() && mEvents.peek().atMs() <= untilMs) {
            Event event = mEvents.poll();
            mNowMs = event.atMs();
            event.action().run();
        }
        mNowMs = untilMs;
    }

    private record Event(long atMs, long sequence, Runnable action) {}
}
