package org.hibiscususher.core.membership;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.message.Input.RecordRead;
import org.hibiscususher.core.message.Input.RecordWatched;
import org.hibiscususher.core.message.Input.ShutdownRequested;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.Output.LogEvent;
import org.hibiscususher.core.message.Output.ShutdownDone;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.core.world.DeadMemberRow;
import org.hibiscususher.core.world.LivenessRow;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.MembershipRow;
import org.hibiscususher.core.world.NodeRow;
import org.hibiscususher.core.world.NodeStage;
import org.hibiscususher.core.world.PeerFreshnessRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Applies the membership record to the tables, and advances this entry's own stage. */
public final class MembershipSystem {
    private MembershipSystem() {}

    /** Applies the peers' messages and newer records, and writes the changes that are due. */
    public static void run(Tick tick) {
        for (PeerMessage message : PeerMessages.accepted(tick)) {
            applyMessage(tick, message);
        }
        applyRecords(tick);
        FailureDetector.update(tick);
        if (!tick.inputs(ShutdownRequested.class).isEmpty()) {
            enter(tick, NodeStage.LEAVING);
        }
        advanceStage(tick);
        confirm(tick);
        MembershipStoreCalls.run(tick);
    }

    private static void applyMessage(Tick tick, PeerMessage message) {
        World world = tick.world();
        world.members().update(message.from(), row -> withMessage(row, message, tick.nowMs()));
        world.liveness().update(message.from(), l -> l.withHeard(tick.nowMs()));
    }

    private static MemberRow withMessage(MemberRow row, PeerMessage message, long nowMs) {
        long storeContactMs =
                message.storeAgeMs() < 0
                        ? row.storeContactMs()
                        : Math.max(row.storeContactMs(), nowMs - message.storeAgeMs());
        return new MemberRow(
                row.member(),
                nowMs,
                row.lastSentMs(),
                row.sentSequence(),
                Math.max(row.receivedSequence(), message.sequence()),
                Math.max(row.acknowledgedSequence(), message.acknowledged()),
                Math.max(row.epoch(), message.epoch()),
                Math.max(row.revision(), message.revision()),
                storeContactMs);
    }

    private static void applyRecords(Tick tick) {
        for (RecordWatched watched : tick.inputs(RecordWatched.class)) {
            applyRecord(tick, watched.record());
        }
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            read.found().ifPresent(r -> applyRecord(tick, r));
        }
    }

    /** Applies a record of the store if it is the membership and newer than the one in force. */
    private static void applyRecord(Tick tick, VersionedRecord versioned) {
        World world = tick.world();
        if (!(versioned.value() instanceof MembershipRecord record)
                || versioned.version() <= world.membership().version()) {
            return;
        }
        world.membershipTable().put(World.SELF, new MembershipRow(versioned.version(), record));
        world.membershipCallTable().update(World.SELF, c -> c.withRecordSeen());
        Set<String> live = new LinkedHashSet<>();
        Set<DeadMemberRow.Key> dead = new LinkedHashSet<>();
        String self = world.node().identity().id();
        for (Member member : record.members()) {
            if (member.state() == MemberState.DEAD) {
                dead.add(DeadMemberRow.Key.of(member));
                applyDead(tick, member);
            } else if (!member.id().equals(self)) {
                live.add(member.id());
                applyLive(tick, member);
            }
        }
        world.members().removeIf(m -> !live.contains(m.member().id()));
        world.liveness().removeIf((id, row) -> !live.contains(id));
        world.peerFreshness().removeIf((id, row) -> !live.contains(id));
        world.deadMembers().removeIf(d -> !dead.contains(DeadMemberRow.Key.of(d.member())));
        tick.emit(
                new LogEvent(
                        "event=membership epoch="
                                + record.epoch()
                                + " live="
                                + live.size()
                                + " dead="
                                + dead.size()));
    }

    private static void applyDead(Tick tick, Member member) {
        World world = tick.world();
        DeadMemberRow.Key key = DeadMemberRow.Key.of(member);
        if (!world.deadMembers().contains(key)) {
            long delayMs = MembershipChanges.reclaimDelayMs(world);
            world.deadMembers().put(key, new DeadMemberRow(member, tick.nowMs(), delayMs));
        }
    }

    private static void applyLive(Tick tick, Member member) {
        World world = tick.world();
        String id = member.id();
        Optional<MemberRow> known =
                world.members()
                        .find(id)
                        .filter(m -> m.member().incarnation() == member.incarnation());
        if (known.isPresent()) {
            world.members().put(id, known.get().withMember(member));
            world.liveness().update(id, l -> l.withState(member.state(), tick.nowMs()));
        } else {
            world.members().put(id, MemberRow.of(member));
            world.liveness().put(id, LivenessRow.of(member.state(), tick.nowMs()));
            world.peerFreshness().put(id, PeerFreshnessRow.NONE);
        }
    }

    /** Advances this entry to the stage that follows from the record and its remaining requests. */
    private static void advanceStage(Tick tick) {
        World world = tick.world();
        Optional<Member> self = MembershipChanges.findSelf(world);
        updateActiveEpoch(tick, self);
        boolean idle = world.requests().size() == 0;
        switch (world.node().stage()) {
            case JOINING -> {
                if (self.isPresent()) {
                    enter(tick, NodeStage.SERVING);
                }
            }
            case SERVING -> {
                if (self.isEmpty()) {
                    enter(tick, NodeStage.EXPELLED);
                }
            }
            case LEAVING -> {
                if (self.isEmpty() && idle && world.membershipCall().callId() == 0) {
                    finish(tick);
                }
            }
            case EXPELLED -> {
                if (idle) {
                    finish(tick);
                }
            }
            default -> {
                // GONE is the last stage.
            }
        }
    }

    /** Records the epoch in which the record began to show this entry as active, or 0. */
    private static void updateActiveEpoch(Tick tick, Optional<Member> self) {
        World world = tick.world();
        NodeRow node = world.node();
        boolean active = self.map(m -> m.state() == MemberState.ACTIVE).orElse(false);
        if (active && node.activeEpoch() == 0) {
            long epoch = world.membership().record().epoch();
            world.nodeTable().put(World.SELF, node.withActiveEpoch(epoch));
        } else if (!active && node.activeEpoch() != 0) {
            world.nodeTable().put(World.SELF, node.withActiveEpoch(0));
        }
    }

    private static void enter(Tick tick, NodeStage stage) {
        tick.world().nodeTable().update(World.SELF, n -> n.withStage(stage));
        tick.emit(new LogEvent("event=" + stage.name().toLowerCase(java.util.Locale.ROOT)));
    }

    private static void finish(Tick tick) {
        enter(tick, NodeStage.GONE);
        tick.emit(new ShutdownDone());
    }

    /**
     * Records when every member that the record does not show as silent knows that this entry is
     * active.
     *
     * <p>Until then this entry writes no configuration and reports no member as silent.
     */
    private static void confirm(Tick tick) {
        World world = tick.world();
        NodeRow node = world.node();
        if (node.confirmed() || node.activeEpoch() == 0) {
            return;
        }
        boolean confirmed =
                world.members().rows().stream()
                        .filter(m -> m.member().state() != MemberState.SILENT)
                        .allMatch(m -> m.epoch() >= node.activeEpoch());
        if (confirmed) {
            world.nodeTable().put(World.SELF, node.withConfirmed());
        }
    }
}
