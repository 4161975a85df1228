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

/**
 * Computes the next state of the membership record, as far as it is for this entry to write it.
 *
 * <p>A live member is removed from the record only by itself, once it holds nothing; any other
 * member is first marked as dead, and stays so until its work must be over.
 */
final class MembershipChanges {
    /** Added to the longest run time of any queue before a dead member is removed, in ms. */
    private static final int RECLAIM_MARGIN_MS = 5_000;

    private static final Comparator<Member> ORDER =
            Comparator.comparing(Member::id).thenComparingLong(Member::incarnation);

    private MembershipChanges() {}

    /** Returns the member in the record that is this incarnation, unless it is shown as dead. */
    static Optional<Member> findSelf(World world) {
        NodeIdentity self = world.node().identity();
        return world.membership().record().members().stream()
                .filter(m -> m.id().equals(self.id()) && m.incarnation() == self.incarnation())
                .filter(m -> m.state() != MemberState.DEAD)
                .findFirst();
    }

    /**
     * Returns how long a dead member stays in the record and its permits are not reclaimed, in
     * milliseconds.
     *
     * <p>Targets may run the work of an ended process for so long. If its permits were granted to
     * others earlier, hosts would run more than their limits.
     */
    static long reclaimDelayMs(World world) {
        return RECLAIM_MARGIN_MS
                + world.configuration().queues().values().stream()
                        .mapToInt(QueueSpec::longestRunMs)
                        .max()
                        .orElse(0);
    }

    /** Returns the members that the next record should show, ordered by id and incarnation. */
    static List<Member> nextMembers(Tick tick) {
        List<Member> next = new ArrayList<>();
        for (Member member : tick.world().membership().record().members()) {
            nextState(tick, member).ifPresent(next::add);
        }
        if (tick.world().node().stage() == NodeStage.JOINING) {
            next.add(memberOf(tick.world().node().identity()));
        }
        next.sort(ORDER);
        return next;
    }

    /** Returns the next state of a member in the record, or empty if it is to be removed. */
    private static Optional<Member> nextState(Tick tick, Member member) {
        World world = tick.world();
        if (world.node().stage() == NodeStage.JOINING) {
            return Optional.of(replaces(world.node().identity(), member) ? dead(member) : member);
        }
        if (findSelf(world).filter(member::equals).isPresent()) {
            return nextSelf(tick, member);
        }
        if (member.state() == MemberState.DEAD) {
            return mayRemove(tick, member) ? Optional.empty() : Optional.of(member);
        }
        MemberState state = member.state().next(FailureDetector.evaluate(tick, member));
        return Optional.of(withState(member, state));
    }

    /** Returns whether a member has the id or the address of this process, which proves its end. */
    private static boolean replaces(NodeIdentity self, Member member) {
        return member.id().equals(self.id()) || member.address().equals(self.peerAddress());
    }

    /** Returns the next state of this entry itself, or empty if it is to be removed. */
    private static Optional<Member> nextSelf(Tick tick, Member self) {
        if (tick.world().node().stage() == NodeStage.LEAVING) {
            return self.state() == MemberState.LEAVING && mayLeave(tick)
                    ? Optional.empty()
                    : Optional.of(withState(self, MemberState.LEAVING));
        }
        boolean recovers =
                self.state() == MemberState.SILENT && FailureDetector.shouldRestoreSelf(tick);
        return Optional.of(recovers ? withState(self, MemberState.ACTIVE) : self);
    }

    /** Returns whether this entry has no work left and has returned the permits that it can. */
    private static boolean mayLeave(Tick tick) {
        World world = tick.world();
        if (world.requests().size() > 0) {
            return false;
        }
        boolean holdsNothing = world.holdings().rows().stream().allMatch(h -> h.held() == 0);
        boolean nobodyAllocates =
                world.members().rows().stream().noneMatch(m -> m.member().state().mayAllocate());
        return holdsNothing || nobodyAllocates && holdsOnlyIdle(world);
    }

    private static boolean holdsOnlyIdle(World world) {
        return world.holdings().rows().stream().mapToInt(HoldingRow::inUse).allMatch(n -> n == 0);
    }

    /** Returns whether a dead member is to be removed now, and by this entry. */
    private static boolean mayRemove(Tick tick, Member member) {
        World world = tick.world();
        Optional<DeadMemberRow> row = world.deadMembers().find(DeadMemberRow.Key.of(member));
        if (row.isEmpty()) {
            return false;
        }
        long dueMs =
                row.get().sinceMs() + Math.max(row.get().reclaimDelayMs(), reclaimDelayMs(world));
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
