package org.hibiscususher.standin.virtual;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock with a queue of events. Events that are due at the same millisecond run in the
 * order in which they were added, so that a run is reproducible. Not thread-safe.
 */
public final class VirtualClock {
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private long mNowMs;
    private long mSequence;

    private record Event(long atMs, long sequence, Runnable action) {}

    VirtualClock(long startMs) {
        mNowMs = startMs;
    }

    /** Returns the virtual time in milliseconds. */
    public long nowMs() {
        return mNowMs;
    }

    /**
     * Schedules an action.
     *
     * @param delayMs delay from now, in milliseconds
     * @param action runs after the actions that were scheduled earlier for the same time
     */
    public void after(long delayMs, Runnable action) {
        mEvents.add(new Event(mNowMs + delayMs, mSequence++, requireNonNull(action)));
    }

    /** Advances the time by one millisecond and runs the actions that are due. */
    void advance() {
        mNowMs++;
        while (!mEvents.isEmpty() && mEvents.peek().atMs() <= mNowMs) {
            mEvents.poll().action().run();
        }
    }
}
