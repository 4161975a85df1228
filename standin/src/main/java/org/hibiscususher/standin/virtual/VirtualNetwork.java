package org.hibiscususher.standin.virtual;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Simulated links between entries. They delay, reorder, lose and duplicate messages at random, and
 * can be cut in each direction.
 */
public final class VirtualNetwork {
    private final VirtualClock mClock;
    private final Random mRandom;
    private final Set<Link> mCutLinks = new HashSet<>();
    private int mLatencyMs = 1;
    private int mJitterMs;
    private double mLoss;
    private double mDuplication;
    private long mMessageCount;

    private record Link(String from, String to) {}

    VirtualNetwork(VirtualClock clock, Random random) {
        mClock = clock;
        mRandom = random;
    }

    /**
     * Cuts or restores the link from one entry to another; the opposite direction is unaffected.
     */
    public void setCut(String from, String to, boolean cut) {
        if (cut) {
            mCutLinks.add(new Link(from, to));
        } else {
            mCutLinks.remove(new Link(from, to));
        }
    }

    /** Restores all links that were cut. */
    public void restoreAllLinks() {
        mCutLinks.clear();
    }

    /**
     * Sets latency, loss and duplication of all links.
     *
     * @param latencyMs least one-way latency, in milliseconds
     * @param jitterMs greatest random addition to the latency, in milliseconds; reorders messages
     *     if positive
     * @param loss probability that a message is lost, 0 to 1
     * @param duplication probability that a message arrives twice, 0 to 1
     */
    public void setLinkBehaviour(int latencyMs, int jitterMs, double loss, double duplication) {
        mLatencyMs = latencyMs;
        mJitterMs = jitterMs;
        mLoss = loss;
        mDuplication = duplication;
    }

    /** Returns the number of messages sent, lost ones included. */
    public long messageCount() {
        return mMessageCount;
    }

    /** Returns whether the link from one entry to another is not cut. */
    public boolean isConnected(String from, String to) {
        return !mCutLinks.contains(new Link(from, to));
    }

    /**
     * Sends a message.
     *
     * @param delivery runs once for each copy that arrives
     */
    void send(String from, String to, Runnable delivery) {
        mMessageCount++;
        if (!isConnected(from, to) || mRandom.nextDouble() < mLoss) {
            return;
        }
        int copies = mRandom.nextDouble() < mDuplication ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            int jitterDelayMs = mJitterMs == 0 ? 0 : mRandom.nextInt(mJitterMs + 1);
            mClock.after(mLatencyMs + jitterDelayMs, delivery);
        }
    }
}
