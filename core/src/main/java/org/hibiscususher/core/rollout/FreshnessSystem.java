package org.hibiscususher.core.rollout;

import org.hibiscususher.core.membership.PeerMessages;
import org.hibiscususher.core.message.Input.RecordRead;
import org.hibiscususher.core.message.Input.RecordSwapped;
import org.hibiscususher.core.message.Input.RecordWatched;
import org.hibiscususher.core.message.Input.StoreFailed;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.Output.LogEvent;
import org.hibiscususher.core.message.Output.ReadRecord;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.RecordKind;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.message.SwapResult;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.core.world.FreshnessRow;
import org.hibiscususher.core.world.LivenessRow;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.NodeRow;
import org.hibiscususher.core.world.PeerFreshnessRow;
import org.hibiscususher.core.world.PendingNoteRow;
import org.hibiscususher.core.world.StoreCallRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Keeps track of how current this entry's configuration is known to be. */
public final class FreshnessSystem {
    /** Reads of the head in one bound of freshness while the store answers. */
    private static final int READS_PER_BOUND = 8;

    /** Reads of the head in one bound of freshness while the store does not answer. */
    private static final int READS_PER_BOUND_UNANSWERED = 4;

    /** Most reads of the head that are out at a time. */
    private static final int MAX_READS_OUT = 4;

    /** Age at which a read of the head is given up, in milliseconds. */
    private static final int READ_LIMIT_MS = 5_000;

    /**
     * Time after which a member marked silent counts as unable to write a new head, in
     * milliseconds; longer than a store call takes at most.
     */
    private static final int SILENT_REST_MS = 5_000;

    private FreshnessSystem() {}

    /** Takes in what the store and the peers tell, and reads the head when that is due. */
    public static void run(Tick tick) {
        detectPause(tick);
        noteContact(tick);
        takeReads(tick);
        takeSwaps(tick);
        for (PeerMessage message : PeerMessages.accepted(tick)) {
            takeMessage(tick, message);
        }
        vouch(tick);
        pollHead(tick);
    }

    private static void detectPause(Tick tick) {
        World world = tick.world();
        NodeRow node = world.node();
        long gapMs = tick.nowMs() - node.lastTickMs();
        if (gapMs <= world.settings().pauseMs()) {
            return;
        }
        world.nodeTable().put(World.SELF, node.withResumed(tick.nowMs()));
        world.freshnessTable().update(World.SELF, FreshnessRow::invalidated);
        tick.count("process.paused");
        tick.emit(new LogEvent("event=paused ms=" + gapMs));
    }

    private static void noteContact(Tick tick) {
        boolean contact =
                !tick.inputs(RecordRead.class).isEmpty()
                        || !tick.inputs(RecordWatched.class).isEmpty()
                        || tick.inputs(RecordSwapped.class).stream()
                                .anyMatch(s -> s.result() != SwapResult.UNKNOWN);
        if (contact) {
            tick.world().nodeTable().update(World.SELF, n -> n.withStoreContact(tick.nowMs()));
        }
    }

    private static void takeReads(Tick tick) {
        World world = tick.world();
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            read.found().ifPresent(r -> know(world, r));
            world.headReads()
                    .remove(read.callId())
                    .ifPresent(
                            c ->
                                    world.freshnessTable()
                                            .update(
                                                    World.SELF,
                                                    f -> f.withReadAnswered(c.sinceMs())));
        }
        for (RecordWatched watched : tick.inputs(RecordWatched.class)) {
            know(world, watched.record());
        }
        for (StoreFailed failed : tick.inputs(StoreFailed.class)) {
            world.headReads().remove(failed.callId());
        }
    }

    private static void know(World world, VersionedRecord record) {
        if (record.value() instanceof HeadRecord head) {
            know(world, head.revision());
        }
    }

    private static void know(World world, long revision) {
        world.freshnessTable().update(World.SELF, f -> f.withKnownRevision(revision));
    }

    private static void takeSwaps(Tick tick) {
        World world = tick.world();
        for (RecordSwapped swapped : tick.inputs(RecordSwapped.class)) {
            if (swapped.key().kind() != RecordKind.HEAD || swapped.result() != SwapResult.SWAPPED) {
                continue;
            }
            for (PendingNoteRow note : world.pendingNotes().rows()) {
                if (note.storeCallId() == swapped.callId()) {
                    know(world, note.plan().next().revision());
                }
            }
        }
    }

    private static void takeMessage(Tick tick, PeerMessage message) {
        World world = tick.world();
        long known = Math.max(message.revision(), message.knownRevision());
        know(world, known);
        world.peerFreshness()
                .update(
                        message.from(),
                        e -> e.withReceived(message.acknowledged(), known, message.freshAgeMs()));
    }

    /** Moves the time of vouching forward, unless a newer revision is known but not in force. */
    private static void vouch(Tick tick) {
        World world = tick.world();
        FreshnessRow row = world.freshness();
        if (row.knownRevision() > world.configuration().revision()) {
            return;
        }
        vouchAsOf(world, row.answeredReadSentMs());
        long ageMs = Freshness.ageMs(world, tick.nowMs());
        if (ageMs < 0 || ageMs > Freshness.maxAgeMs(world) / READS_PER_BOUND) {
            for (PeerFreshnessRow evidence : world.peerFreshness().rows()) {
                vouchAsOf(world, evidence.currentAsOfMs());
            }
            vouchAsOf(world, unanimousMs(tick));
        }
    }

    private static void vouchAsOf(World world, long asOfMs) {
        if (asOfMs >= world.node().resumedMs()) {
            world.freshnessTable().update(World.SELF, f -> f.withCurrentAsOf(asOfMs));
        }
    }

    /**
     * Returns the time as of which no member knew of a newer revision, -1 if some member that could
     * have written one has not said so.
     */
    private static long unanimousMs(Tick tick) {
        World world = tick.world();
        if (world.membership().version() == 0 || !world.node().stage().member()) {
            return -1;
        }
        long asOfMs = tick.nowMs();
        for (MemberRow member : world.members().rows()) {
            LivenessRow life = world.liveness().find(member.member().id()).orElseThrow();
            boolean rested =
                    life.state() == MemberState.SILENT
                            && tick.nowMs() - life.sinceMs() >= SILENT_REST_MS;
            if (life.hasEnded() || rested) {
                continue;
            }
            if (member.epoch() > world.membership().record().epoch()) {
                return -1;
            }
            long saidMs =
                    world.peerFreshness()
                            .find(member.member().id())
                            .map(PeerFreshnessRow::acknowledgedSentMs)
                            .orElse(-1L);
            asOfMs = Math.min(asOfMs, saidMs);
        }
        return asOfMs;
    }

    /** Reads the head now and then: a watch may have frozen, and shows no time. */
    private static void pollHead(Tick tick) {
        World world = tick.world();
        long nowMs = tick.nowMs();
        world.headReads().removeIf(c -> nowMs - c.sinceMs() >= READ_LIMIT_MS);
        long boundMs = Freshness.maxAgeMs(world);
        boolean answers = nowMs - world.freshness().answeredReadSentMs() <= boundMs / 2;
        long intervalMs = boundMs / (answers ? READS_PER_BOUND : READS_PER_BOUND_UNANSWERED);
        long askedMs = world.freshness().readSentMs();
        if (askedMs >= 0 && nowMs - askedMs < intervalMs
                || world.headReads().size() >= MAX_READS_OUT) {
            return;
        }
        long callId = tick.nextCallId();
        world.headReads().put(callId, new StoreCallRow(callId, nowMs));
        world.freshnessTable().update(World.SELF, f -> f.withReadSent(nowMs));
        tick.count("store.read-head");
        tick.emit(new ReadRecord(callId, RecordKey.HEAD));
    }
}
