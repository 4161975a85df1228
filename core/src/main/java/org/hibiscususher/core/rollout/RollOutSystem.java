package org.hibiscususher.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.message.Input.PeerMessageReceived;
import org.hibiscususher.core.message.Input.RecordRead;
import org.hibiscususher.core.message.Input.RecordWatched;
import org.hibiscususher.core.message.Input.StoreFailed;
import org.hibiscususher.core.message.Output.ReadRecord;
import org.hibiscususher.core.message.PeerItem.NoteRelay;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.RecordKind;
import org.hibiscususher.core.message.StoreRecord;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.message.StoreRecord.SnapshotRecord;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.core.table.Table;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.RelayRow;
import org.hibiscususher.core.world.StoreCallRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Activates new revisions of the configuration on this entry, learnt from the watch and the reads
 * of the head and from notes that other members relay, and relays notes to members that lag.
 *
 * <p>Only revisions that the store has shown or confirmed are activated or relayed. A revision
 * whose write is still unanswered might never be written, and another one could get its number.
 */
public final class RollOutSystem {
    /** Time between a failed read of a snapshot and the next one. */
    private static final int RETRY_MS = 250;

    /** Time after which a read of a snapshot without any answer is repeated. */
    private static final int READ_TIMEOUT_MS = 3_000;

    /** Time by which the members that can relay are staggered, in order of id. */
    private static final int RELAY_DELAY_MS = 100;

    /** Time after which notes are relayed again to a member that still lags. */
    private static final int RELAY_REPEAT_MS = 1_000;

    /** Limit on the estimated size of the notes in one relay. */
    private static final int MAX_RELAY_BYTES = 32 * 1024;

    private RollOutSystem() {}

    /**
     * Activates newer revisions, reads a missing snapshot, and relays notes to members that lag.
     */
    public static void run(Tick tick) {
        recordHeads(tick);
        applyRelays(tick);
        applySnapshots(tick);
        completeSnapshotReads(tick);
        catchUpWithHead(tick);
        relayToLagging(tick);
    }

    private static void recordHeads(Tick tick) {
        for (RecordWatched watched : tick.inputs(RecordWatched.class)) {
            if (watched.key().kind() == RecordKind.HEAD) {
                recordHead(tick, watched.record().value());
            }
        }
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            if (read.key().kind() == RecordKind.HEAD) {
                recordHead(
                        tick,
                        read.found().<StoreRecord>map(r -> r.value()).orElse(HeadRecord.EMPTY));
            }
        }
    }

    /** Keeps a head if it is the newest so far, and counts those that are older. */
    private static void recordHead(Tick tick, StoreRecord record) {
        if (record instanceof HeadRecord head) {
            if (head.revision() < tick.world().head().record().revision()) {
                tick.count("configuration.older-shown");
            }
            tick.world().headTable().update(World.SELF, h -> h.withHead(head));
        }
    }

    private static void applyRelays(Tick tick) {
        for (PeerMessageReceived received : tick.inputs(PeerMessageReceived.class)) {
            for (var item : received.message().items()) {
                if (item instanceof NoteRelay relay) {
                    ActiveConfiguration.applyNotes(tick, relay.notes());
                }
            }
        }
    }

    private static void applySnapshots(Tick tick) {
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            if (read.found().isPresent()
                    && read.found().get().value() instanceof SnapshotRecord snapshot) {
                ActiveConfiguration.activate(tick, snapshot.configuration());
            }
        }
    }

    /** Allows the next read of a snapshot: at once after a found one, else after a delay. */
    private static void completeSnapshotReads(Tick tick) {
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            completeSnapshotRead(tick, read.callId(), read.found().isPresent());
        }
        for (StoreFailed failed : tick.inputs(StoreFailed.class)) {
            completeSnapshotRead(tick, failed.callId(), false);
        }
    }

    private static void completeSnapshotRead(Tick tick, long callId, boolean found) {
        Table<RecordKind, StoreCallRow> calls = tick.world().storeCalls();
        boolean pending =
                calls.find(RecordKind.SNAPSHOT).filter(c -> c.callId() == callId).isPresent();
        if (pending && found) {
            calls.remove(RecordKind.SNAPSHOT);
        } else if (pending) {
            // Dated back so that the timeout of the read ends after the delay of a retry.
            long sinceMs = tick.nowMs() - READ_TIMEOUT_MS + RETRY_MS;
            calls.put(RecordKind.SNAPSHOT, new StoreCallRow(0, sinceMs));
        }
    }

    /**
     * Activates the newest known head, or reads its snapshot if this entry's configuration is older
     * than the first note in the head.
     */
    private static void catchUpWithHead(Tick tick) {
        World world = tick.world();
        HeadRecord head = world.head().record();
        if (head.revision() > world.configuration().revision()) {
            ActiveConfiguration.applyNotes(tick, head.notes());
        }
        if (world.configuration().revision() < head.snapshotRevision()) {
            readIfDue(tick, new RecordKey(RecordKind.SNAPSHOT, head.snapshot()));
        }
    }

    /** Reads a record unless a read of its kind is pending or has just failed. */
    private static void readIfDue(Tick tick, RecordKey key) {
        World world = tick.world();
        Optional<StoreCallRow> call = world.storeCalls().find(key.kind());
        if (call.isPresent() && tick.nowMs() - call.get().sinceMs() < READ_TIMEOUT_MS) {
            return;
        }
        long callId = tick.nextCallId();
        world.storeCalls().put(key.kind(), new StoreCallRow(callId, tick.nowMs()));
        tick.emit(new ReadRecord(callId, key));
    }

    /**
     * Relays notes to the members that lag. The members that can do so are staggered in order of
     * id, so that one relay usually reaches the lagging member before the next one is sent.
     */
    private static void relayToLagging(Tick tick) {
        World world = tick.world();
        long revision = world.configuration().revision();
        for (MemberRow member : world.members().rows()) {
            if (member.revision() >= revision || !member.member().state().mayHoldPermits()) {
                continue;
            }
            long dueMs = world.revision().sinceMs() + relayRank(world, member) * RELAY_DELAY_MS;
            String id = member.member().id();
            boolean sentRecently =
                    world.relays()
                            .find(id)
                            .filter(r -> r.revision() >= revision)
                            .filter(r -> tick.nowMs() - r.sentMs() < RELAY_REPEAT_MS)
                            .isPresent();
            if (tick.nowMs() >= dueMs && !sentRecently) {
                relayTo(tick, member);
            }
        }
    }

    /**
     * Sends a member the notes that it lacks, if all of them are kept here, up to the limit of one
     * relay.
     */
    static void relayTo(Tick tick, MemberRow member) {
        World world = tick.world();
        String id = member.member().id();
        long revision = world.configuration().revision();
        world.relays().put(id, new RelayRow(id, revision, tick.nowMs()));
        List<AcceptedNote> notes =
                ActiveConfiguration.notesAfter(world, member.revision()).orElse(List.of());
        List<AcceptedNote> sent = new ArrayList<>();
        int bytes = 0;
        for (AcceptedNote note : notes) {
            bytes += note.estimatedBytes();
            if (bytes > MAX_RELAY_BYTES) {
                break;
            }
            sent.add(note);
        }
        if (!sent.isEmpty()) {
            tick.count("relay.sent");
            tick.send(id, new NoteRelay(sent));
        }
    }

    /** Returns the rank by id of this entry among the members that can relay, from 1. */
    private static long relayRank(World world, MemberRow lagging) {
        String self = world.node().identity().id();
        long before =
                world.members().rows().stream()
                        .filter(m -> m.member().state().mayAllocate())
                        .filter(m -> !m.member().id().equals(lagging.member().id()))
                        .filter(m -> m.revision() >= world.configuration().revision())
                        .filter(m -> m.member().id().compareTo(self) < 0)
                        .count();
        return before + 1;
    }
}
