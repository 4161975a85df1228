package org.hibiscususher.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.world.DeadMemberRow;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.NodeIdentity;
import org.hibiscususher.core.world.NodeStage;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Works out how the membership record should change by this entry's hand. */
final class MembershipChanges {
    /** Added to the longest run of any queue before a dead member is forgotten, in milliseconds. */
    private static final int REST_MARGIN_MS = 5_000;

    private static final Comparator<Member> ORDER =
            Comparator.comparing(Member::id).thenComparingLong(Member::incarnation);

    private MembershipChanges() {}

    /** Returns the record's entry of this very process unless it is shown as dead. */
    static Optional<Member> findSelf(World world) {
        NodeIdentity self = world.node().identity();
        return world.membership().record().members().stream()
                .filter(m -> m.id().equals(self.id()) && m.incarnation() == self.incarnation())
                .filter(m -> m.state() != MemberState.DEAD)
                .findFirst();
    }

    /** Returns how long what a member held rests after its end, in milliseconds. */
    static long retentionMs(World world) {
        return REST_MARGIN_MS
                + world.configuration().queues().values().stream()
                        .mapToInt(QueueSpec::longestRunMs)
                        .max()
                        .orElse(0);
    }

    /** Returns the members as they should stand in the record, in order. */
    static List<Member> nextMembers(Tick tick) {
        List<Member> next = new ArrayList<>();
        for (Member member : tick.world().membership().record().members()) {
            nextMembers(tick, member).ifPresent(next::add);
        }
        if (tick.world().node().stage() == NodeStage.JOINING) {
            next.add(memberOf(tick.world().node().identity()));
        }
        next.sort(ORDER);
        return next;
    }

    private static Optional<Member> nextMembers(Tick tick, Member member) {
        World world = tick.world();
        if (world.node().stage() == NodeStage.JOINING) {
            return Optional.of(replaces(world.node().identity(), member) ? dead(member) : member);
        }
        if (findSelf(world).filter(member::equals).isPresent()) {
            return nextOwn(tick, member);
        }
        if (member.state() == MemberState.DEAD) {
            return rested(tick, member) ? Optional.empty() : Optional.of(member);
        }
        MemberState state = member.state().next(FailureDetector.evaluate(tick, member));
        return Optional.of(withState(member, state));
    }

    /** Returns whether a process that listens at its address proves that a member has ended. */
    private static boolean replaces(NodeIdentity self, Member member) {
        return member.id().equals(self.id()) || member.address().equals(self.peerAddress());
    }

    private static Optional<Member> nextOwn(Tick tick, Member own) {
        if (tick.world().node().stage() == NodeStage.LEAVING) {
            return own.state() == MemberState.LEAVING && mayGo(tick)
                    ? Optional.empty()
                    : Optional.of(withState(own, MemberState.LEAVING));
        }
        boolean recovers =
                own.state() == MemberState.SILENT && FailureDetector.shouldRestoreSelf(tick);
        return Optional.of(recovers ? withState(own, MemberState.ACTIVE) : own);
    }

    /** Returns whether this entry has no work left and has given back what it can. */
    private static boolean mayGo(Tick tick) {
        World world = tick.world();
        if (world.requests().size() > 0) {
            return false;
        }
        boolean holdsNothing = world.holdings().rows().stream().allMatch(h -> h.held() == 0);
        boolean nobodyTakes =
                world.members().rows().stream().noneMatch(m -> m.member().state().mayAllocate());
        return holdsNothing || nobodyTakes && holdsOnlyIdle(world);
    }

    private static boolean holdsOnlyIdle(World world) {
        return world.holdings().rows().stream().mapToInt(HoldingRow::inUse).allMatch(n -> n == 0);
    }

    private static boolean rested(Tick tick, Member member) {
        World world = tick.world();
        Optional<DeadMemberRow> row = world.deadMembers().find(DeadMemberRow.Key.of(member));
        if (row.isEmpty()) {
            return false;
        }
        long dueMs = row.get().sinceMs() + Math.max(row.get().reclaimDelayMs(), retentionMs(world));
        return tick.nowMs() >= dueMs && FailureDetector.isTurn(tick, member, dueMs);
    }

    private static Member memberOf(NodeIdentity identity) {
        return new Member(
                identity.id(),
                identity.incarnation(),
                identity.peerAddress(),
                identity.zone(),
                MemberState.ACTIVE);
    }

    private static Member dead(Member member) {
        return withState(member, MemberState.DEAD);
    }

    private static Member withState(Member member, MemberState state) {
        return state == member.state()
                ? member
                : new Member(
                        member.id(), member.incarnation(), member.address(), member.zone(), state);
    }
}
