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

/**
 * Tracks the time as of which this entry's active configuration is known to be the newest.
 *
 * <p>The evidence is, in order of preference: an answered read of the head, which shows the newest
 * revision as of the time the read was sent; a peer that reports how fresh its own configuration
 * is; and confirmations by all members that could have written a newer revision that they know of
 * none. The last two keep entries serving while the store can't be reached.
 */
public final class FreshnessSystem {
    /** Reads of the head within the maximum age while the store answers. */
    private static final int READS_PER_MAX_AGE = 8;

    /** Reads of the head within the maximum age while the store does not answer. */
    private static final int READS_PER_MAX_AGE_UNANSWERED = 4;

    /** Most unanswered reads of the head at a time. */
    private static final int MAX_PENDING_READS = 4;

    /** Age at which an unanswered read of the head is abandoned, in milliseconds. */
    private static final int READ_TIMEOUT_MS = 5_000;

    /**
     * Time after which a member that the record shows as silent counts as unable to write a new
     * head, in milliseconds; longer than a store call lasts at most, so that a write that the
     * member sent before has ended.
     */
    private static final int SILENT_WRITER_MS = 5_000;

    private FreshnessSystem() {}

    /**
     * Applies the evidence from the store and the peers, and reads the head if a read is due.
     *
     * @param tick the current tick
     */
    public static void run(Tick tick) {
        detectPause(tick);
        recordStoreContact(tick);
        applyReads(tick);
        applyOwnWrites(tick);
        for (PeerMessage message : PeerMessages.accepted(tick)) {
            applyMessage(tick, message);
        }
        advanceFreshness(tick);
        pollHead(tick);
    }

    /**
     * Discards the evidence after a pause of the process, so that no request is admitted before the
     * configuration has been confirmed anew.
     */
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

    /** Records that the store can be reached, which any answer or watch event shows. */
    private static void recordStoreContact(Tick tick) {
        boolean contact =
                !tick.inputs(RecordRead.class).isEmpty()
                        || !tick.inputs(RecordWatched.class).isEmpty()
                        || tick.inputs(RecordSwapped.class).stream()
                                .anyMatch(s -> s.result() != SwapResult.UNKNOWN);
        if (contact) {
            tick.world().nodeTable().update(World.SELF, n -> n.withStoreContact(tick.nowMs()));
        }
    }

    /** Records the revisions that the store shows, and when the answered reads were sent. */
    private static void applyReads(Tick tick) {
        World world = tick.world();
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            read.found().ifPresent(r -> recordKnown(world, r));
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
            recordKnown(world, watched.record());
        }
        for (StoreFailed failed : tick.inputs(StoreFailed.class)) {
            world.headReads().remove(failed.callId());
        }
    }

    private static void recordKnown(World world, VersionedRecord record) {
        if (record.value() instanceof HeadRecord head) {
            recordKnown(world, head.revision());
        }
    }

    private static void recordKnown(World world, long revision) {
        world.freshnessTable().update(World.SELF, f -> f.withKnownRevision(revision));
    }

    /** Records the revisions that this entry has written. */
    private static void applyOwnWrites(Tick tick) {
        World world = tick.world();
        for (RecordSwapped swapped : tick.inputs(RecordSwapped.class)) {
            if (swapped.key().kind() != RecordKind.HEAD || swapped.result() != SwapResult.SWAPPED) {
                continue;
            }
            for (PendingNoteRow note : world.pendingNotes().rows()) {
                if (note.storeCallId() == swapped.callId()) {
                    recordKnown(world, note.plan().next().revision());
                }
            }
        }
    }

    /** Records the newest revision that a peer knows and how fresh its configuration is. */
    private static void applyMessage(Tick tick, PeerMessage message) {
        World world = tick.world();
        long known = Math.max(message.revision(), message.knownRevision());
        recordKnown(world, known);
        world.peerFreshness()
                .update(
                        message.from(),
                        f -> f.withReceived(message.acknowledged(), known, message.freshAgeMs()));
    }

    /**
     * Moves the time of freshness forward, unless a newer revision is known but not yet active.
     *
     * <p>The peers' evidence is used only if the store's is older than one interval of reads.
     */
    private static void advanceFreshness(Tick tick) {
        World world = tick.world();
        FreshnessRow row = world.freshness();
        if (row.knownRevision() > world.configuration().revision()) {
            return;
        }
        recordFreshAsOf(world, row.answeredReadSentMs());
        long ageMs = Freshness.ageMs(world, tick.nowMs());
        if (ageMs < 0 || ageMs > Freshness.maxAgeMs(world) / READS_PER_MAX_AGE) {
            for (PeerFreshnessRow peer : world.peerFreshness().rows()) {
                recordFreshAsOf(world, peer.currentAsOfMs());
            }
            recordFreshAsOf(world, allConfirmedMs(tick));
        }
    }

    /** Records evidence as of a time, unless it is from before the last pause of the process. */
    private static void recordFreshAsOf(World world, long asOfMs) {
        if (asOfMs >= world.node().resumedMs()) {
            world.freshnessTable().update(World.SELF, f -> f.withCurrentAsOf(asOfMs));
        }
    }

    /**
     * Returns the time as of which no member knew of a newer revision, in milliseconds of the
     * tick's clock; -1 if a member that could have written one has not confirmed that, or if a
     * member knows a newer epoch and thus perhaps members that this entry does not know.
     */
    private static long allConfirmedMs(Tick tick) {
        World world = tick.world();
        if (world.membership().version() == 0 || !world.node().stage().member()) {
            return -1;
        }
        long asOfMs = tick.nowMs();
        for (MemberRow member : world.members().rows()) {
            LivenessRow liveness = world.liveness().find(member.member().id()).orElseThrow();
            boolean canWriteNoMore =
                    liveness.state() == MemberState.SILENT
                            && tick.nowMs() - liveness.sinceMs() >= SILENT_WRITER_MS;
            if (liveness.hasEnded() || canWriteNoMore) {
                continue;
            }
            if (member.epoch() > world.membership().record().epoch()) {
                return -1;
            }
            long confirmedMs =
                    world.peerFreshness()
                            .find(member.member().id())
                            .map(PeerFreshnessRow::acknowledgedSentMs)
                            .orElse(-1L);
            asOfMs = Math.min(asOfMs, confirmedMs);
        }
        return asOfMs;
    }

    /**
     * Reads the head at intervals. The watch alone does not suffice: it may stop delivering without
     * an error, and its events don't show as of which time they are current.
     */
    private static void pollHead(Tick tick) {
        World world = tick.world();
        long nowMs = tick.nowMs();
        world.headReads().removeIf(c -> nowMs - c.sinceMs() >= READ_TIMEOUT_MS);
        long maxAgeMs = Freshness.maxAgeMs(world);
        boolean storeAnswers = nowMs - world.freshness().answeredReadSentMs() <= maxAgeMs / 2;
        long intervalMs =
                maxAgeMs / (storeAnswers ? READS_PER_MAX_AGE : READS_PER_MAX_AGE_UNANSWERED);
        long lastSentMs = world.freshness().readSentMs();
        if (lastSentMs >= 0 && nowMs - lastSentMs < intervalMs
                || world.headReads().size() >= MAX_PENDING_READS) {
            return;
        }
        long callId = tick.nextCallId();
        world.headReads().put(callId, new StoreCallRow(callId, nowMs));
        world.freshnessTable().update(World.SELF, f -> f.withReadSent(nowMs));
        tick.count("store.read-head");
        tick.emit(new ReadRecord(callId, RecordKey.HEAD));
    }
}
