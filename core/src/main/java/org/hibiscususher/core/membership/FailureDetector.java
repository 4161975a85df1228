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

/** Collects signs of other entries' life and end, and decides when this entry acts on them. */
final class FailureDetector {
    /** Refused connections that prove an end. */
    private static final int REFUSALS = 3;

    /** Least time between the first and the last of them, in milliseconds. */
    private static final int REFUSALS_SPAN_MS = 500;

    /** Consecutive host lists without a host that prove its end. */
    private static final int MISSING_LISTS = 2;

    /** A member heard no longer ago than this, in heartbeats, is back. */
    private static final int HEARD_HEARTBEATS = 2;

    /** Time that the member next in order leaves to the one before it, in milliseconds. */
    private static final int STAGGER_MS = 500;

    private FailureDetector() {}

    /** Takes in this tick's refused connections and lists of the platform's hosts. */
    static void update(Tick tick) {
        World world = tick.world();
        for (PeerConnectionRefused refused : tick.inputs(PeerConnectionRefused.class)) {
            world.members()
                    .find(refused.memberId())
                    .filter(m -> m.member().incarnation() == refused.incarnation())
                    .ifPresent(m -> takeRefusal(tick, m));
        }
        for (HostListRead list : tick.inputs(HostListRead.class)) {
            Set<String> shown =
                    list.hosts().stream().map(PlatformHost::id).collect(Collectors.toSet());
            for (MemberRow member : world.members().rows()) {
                takeList(tick, member, shown.contains(member.member().id()));
            }
        }
    }

    private static void takeRefusal(Tick tick, MemberRow member) {
        String id = member.member().id();
        tick.world().liveness().update(id, l -> l.withRefusal(tick.nowMs()));
        LivenessRow row = tick.world().liveness().find(id).orElseThrow();
        if (row.refusals() >= REFUSALS && tick.nowMs() - row.firstRefusedMs() >= REFUSALS_SPAN_MS) {
            end(tick, id, "refused");
        }
    }

    private static void takeList(Tick tick, MemberRow member, boolean shown) {
        String id = member.member().id();
        tick.world().liveness().update(id, l -> l.withHostList(shown));
        boolean missing =
                tick.world().liveness().find(id).orElseThrow().missedLists() >= MISSING_LISTS;
        if (missing && !PeerMessages.isHeard(tick.world(), member, tick.nowMs())) {
            end(tick, id, "not-listed");
        }
    }

    private static void end(Tick tick, String id, String proof) {
        if (tick.world().liveness().find(id).filter(LivenessRow::hasEnded).isPresent()) {
            return;
        }
        tick.world().liveness().update(id, l -> l.withEnded(tick.nowMs()));
        tick.count("membership.ended-" + proof);
        tick.emit(new LogEvent("event=member-ended member=" + id + " proof=" + proof));
    }

    /** Returns the sign of a member on which this entry should act now. */
    static LivenessObservation evaluate(Tick tick, Member member) {
        World world = tick.world();
        long nowMs = tick.nowMs();
        MemberRow row = world.members().find(member.id()).orElseThrow();
        LivenessRow life = world.liveness().find(member.id()).orElseThrow();
        if (life.hasEnded()) {
            return isTurn(tick, member, life.endedMs())
                    ? LivenessObservation.ENDED
                    : LivenessObservation.NONE;
        }
        if (member.state() == MemberState.SILENT) {
            boolean heard =
                    life.heardAgainMs() >= 0
                            && nowMs - row.lastHeardMs()
                                    <= HEARD_HEARTBEATS * PeerMessages.heartbeatMs(world);
            return heard && isTurn(tick, member, life.heardAgainMs())
                    ? LivenessObservation.HEARD
                    : LivenessObservation.NONE;
        }
        long silentMs = silentSinceMs(world, row, life);
        boolean silent =
                member.state() == MemberState.ACTIVE
                        && nowMs >= silentMs
                        && world.node().confirmed()
                        && heardHalfLately(tick);
        return silent && isTurn(tick, member, silentMs)
                ? LivenessObservation.SILENT
                : LivenessObservation.NONE;
    }

    /** Returns the time from which a member counts as silent unless it is heard before. */
    private static long silentSinceMs(World world, MemberRow row, LivenessRow life) {
        NodeRow node = world.node();
        long last = Math.max(row.lastHeardMs(), Math.max(life.sinceMs(), node.resumedMs()));
        return last + (PeerMessages.silenceMs(world) << life.recoveries());
    }

    /**
     * Returns whether this entry, shown as silent, should correct that itself.
     *
     * <p>The others do it when they hear it; it waits for them first.
     */
    static boolean shouldRestoreSelf(Tick tick) {
        World world = tick.world();
        boolean othersCan =
                world.members().rows().stream()
                        .filter(m -> m.member().state() == MemberState.ACTIVE)
                        .anyMatch(m -> PeerMessages.isHeard(world, m, tick.nowMs()));
        return !othersCan && hearsAtLeastHalf(tick);
    }

    /** Returns whether this entry hears enough members to trust that it is not itself cut off. */
    static boolean hearsAtLeastHalf(Tick tick) {
        List<MemberRow> others = tick.world().members().rows();
        long heard =
                others.stream()
                        .filter(m -> PeerMessages.isHeard(tick.world(), m, tick.nowMs()))
                        .count();
        return 2 * (heard + 1) >= others.size() + 1;
    }

    /**
     * Returns whether this entry has heard enough members within few heartbeats.
     *
     * <p>Members that fall silent together reach the silence limit one after the other; those that
     * are late already speak neither for this entry nor against the first of them.
     */
    private static boolean heardHalfLately(Tick tick) {
        World world = tick.world();
        List<MemberRow> others = world.members().rows();
        long sinceMs = tick.nowMs() - HEARD_HEARTBEATS * PeerMessages.heartbeatMs(world);
        long heard = others.stream().filter(m -> m.lastHeardMs() >= sinceMs).count();
        return 2 * (heard + 1) >= others.size() + 1;
    }

    /**
     * Returns whether it is this entry's turn to write a change about a member.
     *
     * <p>The members that this entry hears take turns in an order that differs by the member
     * concerned, so that few of them write at the same time.
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
        return tick.nowMs() - dueMs >= (long) STAGGER_MS * rank;
    }
}
