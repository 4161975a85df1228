package org.hibiscususher.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.World;

/**
 * Which members have activated a revision, as far as this entry knows.
 *
 * <p>An operator who withdraws a key must not be told that the note is in force while some member
 * may still admit requests with the key. A member that can't be reached counts as harmless only
 * once its freshness has run out, because it admits nothing from then on.
 *
 * @param lagging descriptions of the members that have not confirmed the revision and may still
 *     admit requests without it
 * @param stale descriptions of the members that have not confirmed the revision, but admit no
 *     requests because their freshness has run out
 */
record RollOutConfirmation(List<String> lagging, List<String> stale) {
    /** Allowance for clocks that run at slightly different rates. */
    private static final int CLOCK_MARGIN_MS = 500;

    private static final double MS_PER_SECOND = 1_000;

    /** Copies the lists. */
    RollOutConfirmation {
        lagging = List.copyOf(lagging);
        stale = List.copyOf(stale);
    }

    /**
     * Determines which of the members that may admit requests have not confirmed a revision.
     *
     * @param world the tables of this entry
     * @param revision the revision to confirm
     * @param writtenMs when this entry learnt that the revision is written, in milliseconds of the
     *     tick's clock
     * @param nowMs the current time, in milliseconds of the tick's clock
     */
    static RollOutConfirmation of(World world, long revision, long writtenMs, long nowMs) {
        List<String> lagging = new ArrayList<>();
        List<String> stale = new ArrayList<>();
        for (MemberRow member : world.members().rows()) {
            if (member.revision() >= revision || !mayAdmit(member)) {
                continue;
            }
            boolean freshnessExpired =
                    nowMs - writtenMs >= Freshness.maxAgeMs(world) + CLOCK_MARGIN_MS;
            (freshnessExpired ? stale : lagging).add(describeMember(member, nowMs));
        }
        return new RollOutConfirmation(lagging, stale);
    }

    private static boolean mayAdmit(MemberRow member) {
        MemberState state = member.member().state();
        return state == MemberState.ACTIVE || state == MemberState.SILENT;
    }

    private static String describeMember(MemberRow member, long nowMs) {
        String peerContact =
                member.lastHeardMs() < 0
                        ? "never heard"
                        : "last heard " + formatSeconds(nowMs - member.lastHeardMs()) + " ago";
        String storeContact =
                member.storeContactMs() < 0
                        ? ""
                        : ", store contact "
                                + formatSeconds(nowMs - member.storeContactMs())
                                + " ago";
        return member.member().id()
                + " (revision "
                + member.revision()
                + ", "
                + peerContact
                + storeContact
                + ")";
    }

    private static String formatSeconds(long ms) {
        return String.format(Locale.ROOT, "%.1f s", ms / MS_PER_SECOND);
    }

    /** Returns whether no member may still admit requests without the revision. */
    boolean complete() {
        return lagging.isEmpty();
    }

    /** Returns one line for operators about the roll-out, if the confirmation is complete. */
    String detail() {
        if (stale.isEmpty()) {
            return "in force on every member";
        }
        return "in force on every member that admits requests; members that admit none until they"
                + " have this revision: "
                + String.join(", ", stale);
    }

    /**
     * Returns the members that have not confirmed, for operators.
     *
     * <p>If no member lags, the confirmation is missing because this entry has not read the members
     * again or has not activated the revision; then it names itself.
     */
    String describeLagging(World world) {
        if (lagging.isEmpty()) {
            return world.node().identity().id()
                    + " (revision "
                    + world.configuration().revision()
                    + "; the platform's store did not list the members)";
        }
        return String.join(", ", lagging);
    }
}
