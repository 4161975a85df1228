package org.hibiscususher.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.message.Input.PeerReceived;
import org.hibiscususher.core.message.Input.RecordRead;
import org.hibiscususher.core.message.Input.RecordSwapped;
import org.hibiscususher.core.message.Input.RecordWatched;
import org.hibiscususher.core.message.Input.ShutdownAsked;
import org.hibiscususher.core.message.Input.StoreFailed;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.Output.LogEvent;
import org.hibiscususher.core.message.Output.ReadRecord;
import org.hibiscususher.core.message.Output.ShutdownDone;
import org.hibiscususher.core.message.Output.SwapRecord;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.RecordKind;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.MembershipRow;
import org.hibiscususher.core.world.NodeIdentity;
import org.hibiscususher.core.world.NodeRow;
import org.hibiscususher.core.world.NodeStage;
import org.hibiscususher.core.world.StoreCallRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Keeps this entry in the membership record while it serves, and follows the record. */
public final class MembershipSystem {
    private MembershipSystem() {}

    /** Takes in the record and the peers' messages, and joins or leaves where that is due. */
    public static void run(Tick tick) {
        hearPeers(tick);
        takeRecords(tick);
        clearCalls(tick);
        if (!tick.inputs(ShutdownAsked.class).isEmpty()) {
            tick.world().nodeTable().update(World.SELF, n -> n.withStage(NodeStage.LEAVING));
            tick.emit(new LogEvent("event=leaving"));
        }
        writeOwnState(tick);
    }

    private static void hearPeers(Tick tick) {
        for (PeerReceived received : tick.inputs(PeerReceived.class)) {
            PeerMessage message = received.message();
            tick.world().members().update(message.from(), row -> heard(row, message, tick));
        }
    }

    private static MemberRow heard(MemberRow row, PeerMessage message, Tick tick) {
        if (message.incarnation() < row.member().incarnation()) {
            return row;
        }
        long contact =
                message.storeAgeMs() < 0
                        ? row.storeContactMs()
                        : Math.max(row.storeContactMs(), tick.nowMs() - message.storeAgeMs());
        return new MemberRow(
                row.member(),
                tick.nowMs(),
                row.lastSentMs(),
                row.sent(),
                Math.max(row.received(), message.sequence()),
                Math.max(row.acknowledged(), message.acknowledged()),
                Math.max(row.epoch(), message.epoch()),
                Math.max(row.revision(), message.revision()),
                contact);
    }

    private static void takeRecords(Tick tick) {
        for (RecordWatched watched : tick.inputs(RecordWatched.class)) {
            take(tick, watched.record());
        }
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            read.found().ifPresent(r -> take(tick, r));
        }
    }

    private static void take(Tick tick, VersionedRecord seen) {
        World world = tick.world();
        if (!(seen.value() instanceof MembershipRecord record)
                || seen.version() <= world.membership().version()) {
            return;
        }
        world.membershipTable().put(World.SELF, new MembershipRow(seen.version(), record));
        Set<String> ids = new HashSet<>();
        for (Member member : record.members()) {
            if (member.id().equals(world.node().identity().id())) {
                continue;
            }
            ids.add(member.id());
            MemberRow row =
                    world.members()
                            .find(member.id())
                            .filter(m -> m.member().incarnation() == member.incarnation())
                            .map(m -> m.withMember(member))
                            .orElse(MemberRow.of(member));
            world.members().put(member.id(), row);
        }
        world.members().removeIf(m -> !ids.contains(m.member().id()));
        tick.emit(
                new LogEvent(
                        "event=membership epoch="
                                + record.epoch()
                                + " members="
                                + record.members().size()));
    }

    private static void clearCalls(Tick tick) {
        Optional<StoreCallRow> call = tick.world().storeCalls().find(RecordKind.MEMBERSHIP);
        if (call.isEmpty()) {
            return;
        }
        long callId = call.get().callId();
        boolean over =
                tick.inputs(RecordRead.class).stream().anyMatch(r -> r.callId() == callId)
                        || tick.inputs(RecordSwapped.class).stream()
                                .anyMatch(s -> s.callId() == callId)
                        || tick.inputs(StoreFailed.class).stream()
                                .anyMatch(f -> f.callId() == callId);
        if (over) {
            tick.world().storeCalls().remove(RecordKind.MEMBERSHIP);
        }
    }

    private static void writeOwnState(Tick tick) {
        World world = tick.world();
        NodeRow node = world.node();
        Optional<Member> own = own(world);
        boolean current =
                own.map(m -> m.incarnation() == node.identity().incarnation()).orElse(false);
        switch (node.stage()) {
            case JOINING -> {
                if (current) {
                    world.nodeTable().put(World.SELF, node.withStage(NodeStage.SERVING));
                    tick.emit(new LogEvent("event=serving"));
                } else {
                    swap(tick, memberOf(node.identity(), MemberState.ACTIVE));
                }
            }
            case LEAVING -> {
                if (own.isEmpty() && world.requests().size() == 0) {
                    world.nodeTable().put(World.SELF, node.withStage(NodeStage.GONE));
                    tick.emit(new ShutdownDone());
                } else if (own.isPresent() && world.requests().size() == 0) {
                    swap(tick, Optional.empty());
                }
            }
            default -> {
                // A serving entry's own state is in the record already.
            }
        }
    }

    private static Optional<Member> own(World world) {
        String id = world.node().identity().id();
        return world.membership().record().members().stream()
                .filter(m -> m.id().equals(id))
                .findFirst();
    }

    private static Optional<Member> memberOf(NodeIdentity identity, MemberState state) {
        return Optional.of(
                new Member(
                        identity.id(),
                        identity.incarnation(),
                        identity.peerAddress(),
                        identity.zone(),
                        state));
    }

    /** Writes a record with the given state of this entry, after reading the newest one. */
    private static void swap(Tick tick, Optional<Member> own) {
        World world = tick.world();
        if (world.storeCalls().contains(RecordKind.MEMBERSHIP)) {
            return;
        }
        long callId = tick.nextCallId();
        world.storeCalls().put(RecordKind.MEMBERSHIP, new StoreCallRow(callId, tick.nowMs()));
        boolean justRead =
                tick.inputs(RecordRead.class).stream()
                        .anyMatch(r -> r.key().kind() == RecordKind.MEMBERSHIP);
        if (!justRead) {
            tick.emit(new ReadRecord(callId, RecordKey.MEMBERSHIP));
            return;
        }
        MembershipRow row = world.membership();
        List<Member> members = new ArrayList<>(row.record().members());
        members.removeIf(m -> m.id().equals(world.node().identity().id()));
        own.ifPresent(members::add);
        members.sort(Comparator.comparing(Member::id));
        MembershipRecord next = new MembershipRecord(row.record().epoch() + 1, members);
        tick.emit(new SwapRecord(callId, RecordKey.MEMBERSHIP, row.version(), next));
    }
}
