package org.hibiscususher.standin.bench;

import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.standin.virtual.VirtualSite;

/**
 * The paths by which entries learn of a new revision of the configuration.
 *
 * <p>All constants but {@link #ALL} are baselines that leave one path, to show what each
 * contributes.
 */
enum PropagationPath {
    /** Watch, poll and relay, as in the daemon. */
    ALL("watch, poll and relay", false, false, false),
    /** The watch of the store only. */
    WATCH("watch only", false, true, true),
    /** Periodic reads of the head record only. */
    POLL("poll only", true, false, true),
    /** Relay by other entries only. */
    RELAY("relay only", true, true, false);

    /** Bound of freshness if polls are disabled; the poll interval is a fraction of it. */
    private static final int LONG_FRESHNESS_MS = 60_000;

    private final String mLabel;
    private final boolean mWatchDisabled;
    private final boolean mPollDisabled;
    private final boolean mRelayDisabled;

    PropagationPath(
            String label, boolean watchDisabled, boolean pollDisabled, boolean relayDisabled) {
        mLabel = label;
        mWatchDisabled = watchDisabled;
        mPollDisabled = pollDisabled;
        mRelayDisabled = relayDisabled;
    }

    /** Returns the name in the printed table. */
    String label() {
        return mLabel;
    }

    /** Returns whether the reply to the operator is measured; it needs relays and polls. */
    boolean repliesToOperator() {
        return this == ALL;
    }

    /** Returns the settings of the entries, which poll rarely if polls are disabled. */
    ControlSettings settings() {
        ControlSettings base = ControlSettings.DEFAULT;
        return mPollDisabled ? base.withFreshness(LONG_FRESHNESS_MS) : base;
    }

    /** Disables the watch and the links between entries unless this path uses them. */
    void disableOtherPaths(VirtualSite site) {
        site.store().setWatchesFrozen(mWatchDisabled);
        if (!mRelayDisabled) {
            return;
        }
        for (String from : site.entries().keySet()) {
            for (String to : site.entries().keySet()) {
                site.network().setCut(from, to, true);
            }
        }
    }
}
