package org.hibiscususher.standin.virtual;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Links between entries: latency, loss, doubling and cuts, from one seeded source. */
public final class VirtualNetwork {
    private final VirtualClock mClock;
    private final Random mRandom;
    private final Set<Link> mCut = new HashSet<>();
    private int mLatencyMs = 1;
    private int mJitterMs;
    private double mLoss;
    private double mDoubling;
    private long mMessages;

    private record Link(String from, String to) {}

    VirtualNetwork(VirtualClock clock, Random random) {
        mClock = clock;
        mRandom = random;
    }

    /** Cuts or mends the link from one entry to another, in that direction. */
    public void setCut(String from, String to, boolean cut) {
        if (cut) {
            mCut.add(new Link(from, to));
        } else {
            mCut.remove(new Link(from, to));
        }
    }

    /** Mends all links. */
    public void restoreAllLinks() {
        mCut.clear();
    }

    /**
     * Sets how links behave.
     *
     * @param latencyMs one way, in milliseconds
     * @param jitterMs most that is added to it at random; messages overtake each other
     * @param loss part of the messages that are lost, 0 to 1
     * @param doubling part of the messages that arrive twice, 0 to 1
     */
    public void setLinkBehaviour(int latencyMs, int jitterMs, double loss, double doubling) {
        mLatencyMs = latencyMs;
        mJitterMs = jitterMs;
        mLoss = loss;
        mDoubling = doubling;
    }

    /** Returns how many messages have been sent. */
    public long messageCount() {
        return mMessages;
    }

    /** Returns whether messages get from one entry to another. */
    public boolean isConnected(String from, String to) {
        return !mCut.contains(new Link(from, to));
    }

    void send(String from, String to, Runnable delivery) {
        mMessages++;
        if (!isConnected(from, to) || mRandom.nextDouble() < mLoss) {
            return;
        }
        int copies = mRandom.nextDouble() < mDoubling ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            int jitter = mJitterMs == 0 ? 0 : mRandom.nextInt(mJitterMs + 1);
            mClock.after(mLatencyMs + jitter, delivery);
        }
    }
}
