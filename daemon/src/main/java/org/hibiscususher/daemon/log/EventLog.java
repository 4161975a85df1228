package org.hibiscususher.daemon.log;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;

/**
 * A structured log that writes one line per event to a stream, on a thread of its own.
 *
 * <p>{@link #log} never blocks, so that a slow reader of the output can't stall the control thread
 * or an event loop. A line is dropped if the queue is full or if its event has used up its lines of
 * the current second; the next line of that event reports the number of dropped lines as {@code
 * left_out}. Events that are exempt from the rate limit are dropped only if the queue is full.
 * Thread-safe.
 */
public final class EventLog implements AutoCloseable {
    private static final int QUEUE_CAPACITY_LINES = 8_192;
    private static final int MAX_LINES_PER_EVENT_PER_SECOND = 400;
    private static final long SECOND_MS = 1_000;
    private static final long CLOSE_TIMEOUT_MS = 1_000;

    /** Wakes the writer at the close; no other line is empty. */
    private static final String WAKE_UP = "";

    private final BlockingQueue<String> mQueue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
    private final Map<String, EventQuota> mQuotas = new HashMap<>();
    private final Set<String> mRateLimitExempt;
    private final String mNode;
    private final PrintStream mOut;
    private final Thread mWriter = new Thread(this::writeLines, "log");
    private volatile boolean mClosed;

    private EventLog(String node, Set<String> rateLimitExempt, PrintStream out) {
        mNode = node;
        mRateLimitExempt = Set.copyOf(rateLimitExempt);
        mOut = out;
    }

    /**
     * Starts a log and its thread.
     *
     * @param node name of this process, written in each line
     * @param rateLimitExempt names of events to which the rate limit does not apply
     * @param out stream to which the lines are written
     */
    public static EventLog start(String node, Set<String> rateLimitExempt, PrintStream out) {
        EventLog log = new EventLog(requireNonNull(node), rateLimitExempt, out);
        log.mWriter.setDaemon(true);
        log.mWriter.start();
        return log;
    }

    /**
     * Queues a line.
     *
     * @param event name of the event
     * @param line fields of the event as {@code key=value} pairs, separated by spaces
     */
    public void log(String event, String line) {
        long wallMs = System.currentTimeMillis();
        long dropped = admit(event, wallMs);
        if (dropped < 0) {
            return;
        }
        String text =
                "ms="
                        + wallMs
                        + " node="
                        + mNode
                        + " event="
                        + event
                        + " "
                        + line
                        + (dropped > 0 ? " left_out=" + dropped : "");
        if (!mQueue.offer(text)) {
            countDropped(event);
        }
    }

    /**
     * Returns how many lines of the event were dropped since the last one that was queued, or -1 if
     * this line is to be dropped as well.
     */
    private synchronized long admit(String event, long wallMs) {
        EventQuota quota = mQuotas.computeIfAbsent(event, e -> new EventQuota());
        if (wallMs / SECOND_MS != quota.mEpochSecond) {
            quota.mEpochSecond = wallMs / SECOND_MS;
            quota.mLinesThisSecond = 0;
        }
        quota.mLinesThisSecond++;
        if (quota.mLinesThisSecond > MAX_LINES_PER_EVENT_PER_SECOND
                && !mRateLimitExempt.contains(event)) {
            quota.mDropped++;
            return -1;
        }
        long dropped = quota.mDropped;
        quota.mDropped = 0;
        return dropped;
    }

    private synchronized void countDropped(String event) {
        mQuotas.computeIfAbsent(event, e -> new EventQuota()).mDropped++;
    }

    private void writeLines() {
        List<String> lines = new ArrayList<>();
        try {
            while (!mClosed || !mQueue.isEmpty()) {
                lines.add(mQueue.take());
                mQueue.drainTo(lines);
                lines.removeIf(String::isEmpty);
                writeAndClear(lines);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeAndClear(List<String> lines) {
        if (!lines.isEmpty()) {
            mOut.println(String.join("\n", lines));
            mOut.flush();
            lines.clear();
        }
    }

    /** Writes the queued lines and ends the thread; waits a bounded time for it. */
    @Override
    public void close() {
        mClosed = true;
        // A full queue needs no such line: the writer has others to wake up for.
        mQueue.offer(WAKE_UP);
        try {
            mWriter.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Lines of one event in the current second, and lines dropped since the last queued one. */
    private static final class EventQuota {
        private long mEpochSecond;
        private long mLinesThisSecond;
        private long mDropped;
    }
}
