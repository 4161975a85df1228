package org.hibiscususher.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.World;

/**
 * Which members have a revision in force.
 *
 * @param lagging what is known of each member that may take work without the revision
 * @param stopped what is known of each member that has not confirmed it and takes no work
 */
record RollOutConfirmation(List<String> lagging, List<String> stopped) {
    /** Covers clocks that run at slightly different rates. */
    private static final int MARGIN_MS = 500;

    private static final double MS_PER_SECOND = 1_000;

    /** Copies the lists. */
    RollOutConfirmation {
        lagging = List.copyOf(lagging);
        stopped = List.copyOf(stopped);
    }

    /**
     * Looks at every member.
     *
     * @param world the tables
     * @param revision the revision
     * @param writtenMs when it was known to be written, in milliseconds of the caller's clock
     * @param nowMs now
     */
    static RollOutConfirmation of(World world, long revision, long writtenMs, long nowMs) {
        List<String> lagging = new ArrayList<>();
        List<String> stopped = new ArrayList<>();
        for (MemberRow member : world.members().rows()) {
            if (member.revision() >= revision || !mayTakeWork(member)) {
                continue;
            }
            boolean lapsed = nowMs - writtenMs >= Freshness.maxAgeMs(world) + MARGIN_MS;
            (lapsed ? stopped : lagging).add(describe(member, nowMs));
        }
        return new RollOutConfirmation(lagging, stopped);
    }

    private static boolean mayTakeWork(MemberRow member) {
        MemberState state = member.member().state();
        return state == MemberState.ACTIVE || state == MemberState.SILENT;
    }

    private static String describe(MemberRow member, long nowMs) {
        String heard =
                member.lastHeardMs() < 0
                        ? "never heard"
                        : "last heard " + seconds(nowMs - member.lastHeardMs()) + " ago";
        String store =
                member.storeContactMs() < 0
                        ? ""
                        : ", store contact " + seconds(nowMs - member.storeContactMs()) + " ago";
        return member.member().id()
                + " (revision "
                + member.revision()
                + ", "
                + heard
                + store
                + ")";
    }

    private static String seconds(long ms) {
        return String.format(Locale.ROOT, "%.1f s", ms / MS_PER_SECOND);
    }

    /** Returns whether every member that may take work has the revision in force. */
    boolean complete() {
        return lagging.isEmpty();
    }

    /** Returns a line for the operator of an accepted note. */
    String detail() {
        if (stopped.isEmpty()) {
            return "in force on every member";
        }
        return "in force on every member that takes work; "
                + String.join(", ", stopped)
                + " can take none until it has caught up";
    }

    /** Returns the members that have not confirmed, and why. */
    String laggards(World world) {
        if (lagging.isEmpty()) {
            return world.node().identity().id()
                    + " (revision "
                    + world.configuration().revision()
                    + "; the platform's store did not list the members)";
        }
        return String.join(", ", lagging);
    }
}
