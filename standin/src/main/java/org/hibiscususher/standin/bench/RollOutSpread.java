package org.hibiscususher.standin.bench;

import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.standin.virtual.VirtualSite;

/** By what entries learn a revision; the baselines have the other ways cut. */
enum RollOutSpread {
    /** Watch, poll and relay, as the daemon runs. */
    ALL("watch, poll and relay", false, false, false),
    /** The store's watch alone. */
    WATCH("watch only", false, true, true),
    /** Reads of the head alone. */
    POLL("poll only", true, false, true),
    /** What other entries relay, alone. */
    RELAY("relay only", true, true, false);

    private static final int RARELY_MS = 60_000;

    private final String mLabel;
    private final boolean mNoWatch;
    private final boolean mNoPoll;
    private final boolean mNoRelay;

    RollOutSpread(String label, boolean noWatch, boolean noPoll, boolean noRelay) {
        mLabel = label;
        mNoWatch = noWatch;
        mNoPoll = noPoll;
        mNoRelay = noRelay;
    }

    String label() {
        return mLabel;
    }

    /** Returns whether the operator's answer can be measured: not without links and polls. */
    boolean answers() {
        return this == ALL;
    }

    /** Returns settings that poll rarely if this way does not poll. */
    ControlSettings settings() {
        ControlSettings base = ControlSettings.DEFAULT;
        return mNoPoll ? base.withFreshness(RARELY_MS) : base;
    }

    /** Cuts the ways that are not measured. */
    void begin(VirtualSite site) {
        site.store().setWatchesFrozen(mNoWatch);
        if (!mNoRelay) {
            return;
        }
        for (String from : site.entries().keySet()) {
            for (String to : site.entries().keySet()) {
                site.network().setCut(from, to, true);
            }
        }
    }
}
