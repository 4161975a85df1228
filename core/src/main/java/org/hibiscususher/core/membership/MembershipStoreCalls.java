package org.hibiscususher.core.membership;

import java.util.List;
import org.agrona.collections.Hashing;
import org.hibiscususher.core.message.Input.RecordRead;
import org.hibiscususher.core.message.Input.RecordSwapped;
import org.hibiscususher.core.message.Input.StoreFailed;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.Output.ReadRecord;
import org.hibiscususher.core.message.Output.SwapRecord;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;
import org.hibiscususher.core.message.SwapResult;
import org.hibiscususher.core.world.MembershipCallRow;
import org.hibiscususher.core.world.MembershipRow;
import org.hibiscususher.core.world.NodeIdentity;
import org.hibiscususher.core.world.NodeStage;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Reads and writes the membership record, one call at a time and never faster than a bound. */
final class MembershipStoreCalls {
    /** Time between two reads when nothing calls for one, in milliseconds. */
    private static final int POLL_MS = 5_000;

    /** Wait for a watch before the record is read instead, in milliseconds. */
    private static final int CATCH_UP_MS = 200;

    /** Wait after the first failure, in milliseconds; doubles with each further one. */
    private static final int RETRY_MS = 250;

    /** Time from a failed call after which an answer to another one ends the wait. */
    private static final int CONTACT_WAIT_MS = 1_000;

    /** Spread of the waits after conflicts, in milliseconds; one less than a power of two. */
    private static final int CONFLICT_MASK = 127;

    /** Doublings of that wait at most. */
    private static final int MAX_DOUBLINGS = 4;

    /** Spread of that wait and of the polls over the members, in milliseconds. */
    private static final int SPREAD_MS = 500;

    /** Age at which a call counts as failed, in milliseconds. */
    private static final int CALL_LIMIT_MS = 10_000;

    private MembershipStoreCalls() {}

    /** Settles the call that is out and makes the next one that is due. */
    static void run(Tick tick) {
        settle(tick);
        World world = tick.world();
        MembershipCallRow call = world.membershipCall();
        NodeStage stage = world.node().stage();
        boolean out = call.callId() != 0;
        boolean follows = stage == NodeStage.JOINING || stage.member();
        if (out || !follows || waits(tick, call)) {
            return;
        }
        if (call.readFirst() || pollIsDue(tick, call)) {
            read(tick);
            return;
        }
        if (stage == NodeStage.JOINING) {
            outnumber(world);
        }
        MembershipRow row = world.membership();
        List<Member> next = MembershipChanges.nextMembers(tick);
        if (!next.equals(row.record().members())) {
            swap(tick, row, next);
        }
    }

    /** Returns whether to leave the store alone; an answer to another call shortens the wait. */
    private static boolean waits(Tick tick, MembershipCallRow call) {
        boolean answersAgain =
                call.failures() > 0
                        && tick.world().node().storeContactMs() >= call.sentMs() + CONTACT_WAIT_MS;
        return tick.nowMs() < call.notBeforeMs() && !answersAgain;
    }

    private static void settle(Tick tick) {
        long callId = tick.world().membershipCall().callId();
        if (callId == 0) {
            return;
        }
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            if (read.callId() == callId) {
                update(tick, tick.world().membershipCall().withRead());
            }
        }
        for (RecordSwapped swapped : tick.inputs(RecordSwapped.class)) {
            if (swapped.callId() != callId) {
                continue;
            }
            String result = swapped.result().name().toLowerCase(java.util.Locale.ROOT);
            tick.count("membership.write-" + result);
            if (swapped.result() == SwapResult.UNKNOWN) {
                fail(tick, true);
            } else {
                boolean conflict = swapped.result() == SwapResult.CONFLICT;
                long waitMs = conflict ? turnMs(tick.world()) : CATCH_UP_MS;
                update(tick, tick.world().membershipCall().withWrite(tick.nowMs() + waitMs));
            }
        }
        boolean failed =
                tick.inputs(StoreFailed.class).stream().anyMatch(f -> f.callId() == callId);
        boolean late = tick.nowMs() - tick.world().membershipCall().sentMs() >= CALL_LIMIT_MS;
        if (tick.world().membershipCall().callId() == callId && (failed || late)) {
            fail(tick, late);
        }
    }

    private static void fail(Tick tick, boolean wrote) {
        MembershipCallRow call = tick.world().membershipCall();
        long waitMs = (long) RETRY_MS << Math.min(call.failures(), MAX_DOUBLINGS);
        tick.count("membership.store-failed");
        update(tick, call.withFailure(wrote, tick.nowMs() + waitMs + spreadMs(tick.world())));
    }

    /** Returns how long to wait after a conflict, unlike other members and unlike last time. */
    private static long turnMs(World world) {
        long epoch = world.membership().record().epoch();
        return Hashing.hash(epoch ^ world.node().identity().id().hashCode(), CONFLICT_MASK);
    }

    private static long spreadMs(World world) {
        return Math.floorMod(world.node().identity().id().hashCode(), SPREAD_MS);
    }

    private static boolean pollIsDue(Tick tick, MembershipCallRow call) {
        World world = tick.world();
        long agoMs = tick.nowMs() - call.sentMs();
        long epoch = world.membership().record().epoch();
        boolean behind = world.members().rows().stream().anyMatch(m -> m.epoch() > epoch);
        return agoMs >= POLL_MS + spreadMs(world) || behind && agoMs >= CATCH_UP_MS;
    }

    /** Makes this process's incarnation greater than all that the record shows at its id. */
    private static void outnumber(World world) {
        NodeIdentity self = world.node().identity();
        long newest =
                world.membership().record().members().stream()
                        .filter(m -> m.id().equals(self.id()))
                        .mapToLong(Member::incarnation)
                        .max()
                        .orElse(self.incarnation() - 1);
        if (newest >= self.incarnation()) {
            NodeIdentity next =
                    new NodeIdentity(self.id(), newest + 1, self.peerAddress(), self.zone());
            world.nodeTable().update(World.SELF, n -> n.withIdentity(next));
        }
    }

    private static void read(Tick tick) {
        long callId = tick.nextCallId();
        update(tick, tick.world().membershipCall().withCall(callId, tick.nowMs()));
        tick.count("membership.read");
        tick.emit(new ReadRecord(callId, RecordKey.MEMBERSHIP));
    }

    private static void swap(Tick tick, MembershipRow row, List<Member> members) {
        long callId = tick.nextCallId();
        update(tick, tick.world().membershipCall().withCall(callId, tick.nowMs()));
        tick.count("membership.write");
        MembershipRecord next = new MembershipRecord(row.record().epoch() + 1, members);
        tick.emit(new SwapRecord(callId, RecordKey.MEMBERSHIP, row.version(), next));
    }

    private static void update(Tick tick, MembershipCallRow row) {
        tick.world().membershipCallTable().put(World.SELF, row);
    }
}
