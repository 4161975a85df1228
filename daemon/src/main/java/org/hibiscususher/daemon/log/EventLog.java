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
import java.util.concurrent.TimeUnit;

/**
 * Writes one line an event to standard output, on a thread of its own.
 *
 * <p>Callers never wait: a line that finds the queue full, or that exceeds its event's share of a
 * second, is left out and counted; the count is written with the next line of that event. Events
 * named as vital are only left out if the queue is full. Thread-safe.
 */
public final class EventLog implements AutoCloseable {
    private static final int CAPACITY = 8_192;
    private static final int MAX_LINES_PER_EVENT_AND_SECOND = 400;
    private static final long SECOND_MS = 1_000;
    private static final long IDLE_WAIT_MS = 500;

    private final BlockingQueue<String> mQueue = new ArrayBlockingQueue<>(CAPACITY);
    private final Map<String, Share> mShares = new HashMap<>();
    private final Set<String> mVital;
    private final String mNode;
    private final PrintStream mOut;
    private final Thread mWriter = new Thread(this::write, "log");
    private volatile boolean mClosed;

    private EventLog(String node, Set<String> vital, PrintStream out) {
        mNode = node;
        mVital = Set.copyOf(vital);
        mOut = out;
    }

    /**
     * Starts a log.
     *
     * @param node name of the entry, in each line
     * @param vital events that are written however many there are
     * @param out where the lines go
     */
    public static EventLog start(String node, Set<String> vital, PrintStream out) {
        EventLog log = new EventLog(requireNonNull(node), vital, out);
        log.mWriter.setDaemon(true);
        log.mWriter.start();
        return log;
    }

    /**
     * Writes a line.
     *
     * @param event name of the event
     * @param line key=value pairs
     */
    public void log(String event, String line) {
        long wallMs = System.currentTimeMillis();
        long leftOut = admit(event, wallMs);
        if (leftOut < 0) {
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
                        + (leftOut > 0 ? " left_out=" + leftOut : "");
        if (!mQueue.offer(text)) {
            countLeftOut(event);
        }
    }

    /** Returns how many lines of the event were left out before; -1 if this one is, too. */
    private synchronized long admit(String event, long wallMs) {
        Share share = mShares.computeIfAbsent(event, e -> new Share());
        if (wallMs / SECOND_MS != share.mSecond) {
            share.mSecond = wallMs / SECOND_MS;
            share.mLines = 0;
        }
        share.mLines++;
        if (share.mLines > MAX_LINES_PER_EVENT_AND_SECOND && !mVital.contains(event)) {
            share.mLeftOut++;
            return -1;
        }
        long leftOut = share.mLeftOut;
        share.mLeftOut = 0;
        return leftOut;
    }

    private synchronized void countLeftOut(String event) {
        mShares.computeIfAbsent(event, e -> new Share()).mLeftOut++;
    }

    private void write() {
        List<String> lines = new ArrayList<>();
        try {
            while (!mClosed || !mQueue.isEmpty()) {
                String first = mQueue.poll(IDLE_WAIT_MS, TimeUnit.MILLISECONDS);
                if (first == null) {
                    continue;
                }
                lines.add(first);
                mQueue.drainTo(lines);
                mOut.println(String.join("\n", lines));
                mOut.flush();
                lines.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes what is left and ends. */
    @Override
    public void close() {
        mClosed = true;
        try {
            mWriter.join(IDLE_WAIT_MS * 2);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What was written of an event in the current second. */
    private static final class Share {
        private long mSecond;
        private long mLines;
        private long mLeftOut;
    }
}
