package org.hibiscususher.core.membership;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.hibiscususher.core.message.Input.HostListRead;
import org.hibiscususher.core.message.Input.PeerConnectionRefused;
import org.hibiscususher.core.message.LivenessObservation;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.Output.LogEvent;
import org.hibiscususher.core.message.PlatformHost;
import org.hibiscususher.core.world.LivenessRow;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.NodeRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Collects evidence of whether other members' processes are alive, and decides when this entry
 * changes their state in the membership record.
 *
 * <p>Silence proves nothing: a silent process may only be cut off, still hold permits and run work.
 * An end is proven by repeatedly refused connections, by lists of the platform's hosts without the
 * member, or by a process that joins with its id or address ({@link MembershipChanges}). An entry
 * that hears fewer than half of the members may itself be cut off, and reports nobody as silent.
 */
final class FailureDetector {
    /** Consecutive refused connections that prove that a process has ended. */
    private static final int REFUSALS_PROVING_END = 3;

    /** Least time from the first to the last of these connections, in milliseconds. */
    private static final int MIN_REFUSALS_SPAN_MS = 500;

    /** Consecutive lists of the platform's hosts without a member that prove its end. */
    private static final int MISSING_LISTS_PROVING_END = 2;

    /** A member that was heard within this many heartbeat intervals counts as heard lately. */
    private static final int RECENT_HEARTBEATS = 2;

    /** Delay between the turns of two members to write the same change, in milliseconds. */
    private static final int TURN_DELAY_MS = 500;

    private FailureDetector() {}

    /** Applies this tick's refused connections and lists of the platform's hosts. */
    static void update(Tick tick) {
        World world = tick.world();
        for (PeerConnectionRefused refused : tick.inputs(PeerConnectionRefused.class)) {
            world.members()
                    .find(refused.memberId())
                    .filter(m -> m.member().incarnation() == refused.incarnation())
                    .ifPresent(m -> applyRefusal(tick, m));
        }
        for (HostListRead list : tick.inputs(HostListRead.class)) {
            Set<String> listed =
                    list.hosts().stream().map(PlatformHost::id).collect(Collectors.toSet());
            for (MemberRow member : world.members().rows()) {
                applyHostList(tick, member, listed.contains(member.member().id()));
            }
        }
    }

    private static void applyRefusal(Tick tick, MemberRow member) {
        String id = member.member().id();
        tick.world().liveness().update(id, l -> l.withRefusal(tick.nowMs()));
        LivenessRow row = tick.world().liveness().find(id).orElseThrow();
        if (row.refusals() >= REFUSALS_PROVING_END
                && tick.nowMs() - row.firstRefusedMs() >= MIN_REFUSALS_SPAN_MS) {
            recordEnd(tick, id, "refused");
        }
    }

    private static void applyHostList(Tick tick, MemberRow member, boolean listed) {
        String id = member.member().id();
        tick.world().liveness().update(id, l -> l.withHostList(listed));
        boolean missing =
                tick.world().liveness().find(id).orElseThrow().missedLists()
                        >= MISSING_LISTS_PROVING_END;
        if (missing && !PeerMessages.isHeard(tick.world(), member, tick.nowMs())) {
            recordEnd(tick, id, "not-listed");
        }
    }

    private static void recordEnd(Tick tick, String id, String proof) {
        if (tick.world().liveness().find(id).filter(LivenessRow::hasEnded).isPresent()) {
            return;
        }
        tick.world().liveness().update(id, l -> l.withEnded(tick.nowMs()));
        tick.count("membership.ended-" + proof);
        tick.emit(new LogEvent("event=member-ended member=" + id + " proof=" + proof));
    }

    /**
     * Returns the evidence about a member on which this entry should act now, or {@link
     * LivenessObservation#NONE} if there is none or another member's turn comes first.
     */
    static LivenessObservation evaluate(Tick tick, Member member) {
        World world = tick.world();
        long nowMs = tick.nowMs();
        MemberRow row = world.members().find(member.id()).orElseThrow();
        LivenessRow liveness = world.liveness().find(member.id()).orElseThrow();
        if (liveness.hasEnded()) {
            return isTurn(tick, member, liveness.endedMs())
                    ? LivenessObservation.ENDED
                    : LivenessObservation.NONE;
        }
        if (member.state() == MemberState.SILENT) {
            boolean heard =
                    liveness.heardAgainMs() >= 0
                            && nowMs - row.lastHeardMs()
                                    <= RECENT_HEARTBEATS * PeerMessages.heartbeatMs(world);
            return heard && isTurn(tick, member, liveness.heardAgainMs())
                    ? LivenessObservation.HEARD
                    : LivenessObservation.NONE;
        }
        long silentFromMs = silentFromMs(world, row, liveness);
        boolean silent =
                member.state() == MemberState.ACTIVE
                        && nowMs >= silentFromMs
                        && world.node().confirmed()
                        && heardAtLeastHalfLately(tick);
        return silent && isTurn(tick, member, silentFromMs)
                ? LivenessObservation.SILENT
                : LivenessObservation.NONE;
    }

    /**
     * Returns the time from which a member counts as silent unless it is heard before.
     *
     * <p>The limit doubles with each recovery of the member, so that one with an unreliable link
     * does not change the membership over and over. The time during which this process itself was
     * paused does not count.
     */
    private static long silentFromMs(World world, MemberRow row, LivenessRow liveness) {
        NodeRow node = world.node();
        long last = Math.max(row.lastHeardMs(), Math.max(liveness.sinceMs(), node.resumedMs()));
        return last + (PeerMessages.silenceMs(world) << liveness.recoveries());
    }

    /**
     * Returns whether this entry, which the record shows as silent, should set itself to active.
     *
     * <p>Active members do so when they hear this entry. It acts only if it hears none of them, and
     * at least half of all members.
     */
    static boolean shouldRestoreSelf(Tick tick) {
        World world = tick.world();
        boolean othersWillAct =
                world.members().rows().stream()
                        .filter(m -> m.member().state() == MemberState.ACTIVE)
                        .anyMatch(m -> PeerMessages.isHeard(world, m, tick.nowMs()));
        return !othersWillAct && hearsAtLeastHalf(tick);
    }

    /**
     * Returns whether this entry hears at least half of the members, itself included, and so is not
     * likely to be cut off itself.
     */
    static boolean hearsAtLeastHalf(Tick tick) {
        List<MemberRow> others = tick.world().members().rows();
        long heard =
                others.stream()
                        .filter(m -> PeerMessages.isHeard(tick.world(), m, tick.nowMs()))
                        .count();
        return 2 * (heard + 1) >= others.size() + 1;
    }

    /**
     * Returns whether this entry has heard at least half of the members, itself included, within
     * the last heartbeat intervals.
     *
     * <p>The silence limit would be too long for this question. When this entry is cut off, the
     * members reach that limit one after the other; until the last has reached it, the others would
     * still count as heard, and the first would be reported as silent.
     */
    private static boolean heardAtLeastHalfLately(Tick tick) {
        World world = tick.world();
        List<MemberRow> others = world.members().rows();
        long sinceMs = tick.nowMs() - RECENT_HEARTBEATS * PeerMessages.heartbeatMs(world);
        long heard = others.stream().filter(m -> m.lastHeardMs() >= sinceMs).count();
        return 2 * (heard + 1) >= others.size() + 1;
    }

    /**
     * Returns whether it is this entry's turn to write a change about a member.
     *
     * <p>The active members that this entry hears take turns in an order that depends on the member
     * concerned, so that few of them write the record at the same time and conflict.
     *
     * @param about the member that the change concerns
     * @param dueMs time from which the first in order may write, in milliseconds of the tick's
     *     clock
     */
    static boolean isTurn(Tick tick, Member about, long dueMs) {
        World world = tick.world();
        List<String> others =
                world.members().rows().stream()
                        .filter(m -> m.member().state() == MemberState.ACTIVE)
                        .filter(m -> !m.member().id().equals(about.id()))
                        .filter(m -> PeerMessages.isHeard(world, m, tick.nowMs()))
                        .map(m -> m.member().id())
                        .toList();
        int rank = RendezvousHash.rank(about.id(), world.node().identity().id(), others);
        return tick.nowMs() - dueMs >= (long) TURN_DELAY_MS * rank;
    }
}
