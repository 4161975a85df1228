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

/**
 * Reads and writes the membership record in the platform's store.
 *
 * <p>At most one call is in flight. Waits after failures and conflicts differ by member, so that
 * the members do not load a store that recovers all at once, nor conflict again.
 */
final class MembershipStoreCalls {
    /** Interval between reads while nothing suggests a newer record, in milliseconds. */
    private static final int POLL_INTERVAL_MS = 5_000;

    /**
     * Time that the store's watch has to show a newer record before it is read, in milliseconds.
     */
    private static final int WATCH_WAIT_MS = 200;

    /** Delay after the first failed call, in milliseconds; doubles with each further one. */
    private static final int FIRST_RETRY_MS = 250;

    /** Age of a failed call from which an answer to another store call ends the delay, in ms. */
    private static final int RECOVERY_MS = 1_000;

    /** Longest delay after a conflict, in milliseconds; a bit mask, one less than a power of 2. */
    private static final int CONFLICT_DELAY_MASK = 127;

    /** Largest number of doublings of the delay after failures. */
    private static final int MAX_DOUBLINGS = 4;

    /** Range over which members spread their delays after failures and their reads, in ms. */
    private static final int SPREAD_MS = 500;

    /** Time after which a call without an answer counts as failed, in milliseconds. */
    private static final int CALL_TIMEOUT_MS = 10_000;

    private MembershipStoreCalls() {}

    /** Handles the result of the call in flight, and makes the next call when one is due. */
    static void run(Tick tick) {
        handleResult(tick);
        World world = tick.world();
        MembershipCallRow call = world.membershipCall();
        NodeStage stage = world.node().stage();
        boolean inFlight = call.callId() != 0;
        boolean usesRecord = stage == NodeStage.JOINING || stage.member();
        if (inFlight || !usesRecord || mustWait(tick, call)) {
            return;
        }
        if (call.readFirst() || pollIsDue(tick, call)) {
            read(tick);
            return;
        }
        if (stage == NodeStage.JOINING) {
            raiseIncarnation(world);
        }
        MembershipRow row = world.membership();
        List<Member> next = MembershipChanges.nextMembers(tick);
        if (!next.equals(row.record().members())) {
            swap(tick, row, next);
        }
    }

    /** Returns whether the next call must wait; an answer to another store call ends the wait. */
    private static boolean mustWait(Tick tick, MembershipCallRow call) {
        boolean storeAnswersAgain =
                call.failures() > 0
                        && tick.world().node().storeContactMs() >= call.sentMs() + RECOVERY_MS;
        return tick.nowMs() < call.notBeforeMs() && !storeAnswersAgain;
    }

    private static void handleResult(Tick tick) {
        long callId = tick.world().membershipCall().callId();
        if (callId == 0) {
            return;
        }
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            if (read.callId() == callId) {
                putCall(tick, tick.world().membershipCall().withRead());
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
                long waitMs = conflict ? conflictDelayMs(tick.world()) : WATCH_WAIT_MS;
                putCall(tick, tick.world().membershipCall().withWrite(tick.nowMs() + waitMs));
            }
        }
        boolean failed =
                tick.inputs(StoreFailed.class).stream().anyMatch(f -> f.callId() == callId);
        boolean timedOut = tick.nowMs() - tick.world().membershipCall().sentMs() >= CALL_TIMEOUT_MS;
        if (tick.world().membershipCall().callId() == callId && (failed || timedOut)) {
            fail(tick, timedOut);
        }
    }

    /**
     * Records a failed call.
     *
     * @param wrote whether the call may have been a write that took effect; the record is then read
     *     before it is written again
     */
    private static void fail(Tick tick, boolean wrote) {
        MembershipCallRow call = tick.world().membershipCall();
        long waitMs = (long) FIRST_RETRY_MS << Math.min(call.failures(), MAX_DOUBLINGS);
        tick.count("membership.store-failed");
        putCall(tick, call.withFailure(wrote, tick.nowMs() + waitMs + spreadMs(tick.world())));
    }

    /** Returns the delay after a conflict, which differs by member and by epoch. */
    private static long conflictDelayMs(World world) {
        long epoch = world.membership().record().epoch();
        return Hashing.hash(epoch ^ world.node().identity().id().hashCode(), CONFLICT_DELAY_MASK);
    }

    private static long spreadMs(World world) {
        return Math.floorMod(world.node().identity().id().hashCode(), SPREAD_MS);
    }

    private static boolean pollIsDue(Tick tick, MembershipCallRow call) {
        World world = tick.world();
        long sinceCallMs = tick.nowMs() - call.sentMs();
        long epoch = world.membership().record().epoch();
        boolean behind = world.members().rows().stream().anyMatch(m -> m.epoch() > epoch);
        return sinceCallMs >= POLL_INTERVAL_MS + spreadMs(world)
                || behind && sinceCallMs >= WATCH_WAIT_MS;
    }

    /**
     * Raises this process's incarnation above all that the record shows for its id.
     *
     * <p>The incarnation may not have grown across a restart; the record would then take this
     * process for the earlier one.
     */
    private static void raiseIncarnation(World world) {
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
        putCall(tick, tick.world().membershipCall().withCall(callId, tick.nowMs()));
        tick.count("membership.read");
        tick.emit(new ReadRecord(callId, RecordKey.MEMBERSHIP));
    }

    private static void swap(Tick tick, MembershipRow row, List<Member> members) {
        long callId = tick.nextCallId();
        putCall(tick, tick.world().membershipCall().withCall(callId, tick.nowMs()));
        tick.count("membership.write");
        MembershipRecord next = new MembershipRecord(row.record().epoch() + 1, members);
        tick.emit(new SwapRecord(callId, RecordKey.MEMBERSHIP, row.version(), next));
    }

    private static void putCall(Tick tick, MembershipCallRow row) {
        tick.world().membershipCallTable().put(World.SELF, row);
    }
}
