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
 * Follows the configuration's history, by watch, by poll and by what other members relay.
 *
 * <p>Only what the store has shown or confirmed is put in force or relayed.
 */
public final class RollOutSystem {
    private static final int RETRY_MS = 250;
    private static final int LOST_CALL_MS = 3_000;
    private static final int RELAY_DELAY_MS = 100;
    private static final int RELAY_REPEAT_MS = 1_000;
    private static final int RELAY_BYTES = 32 * 1024;

    private RollOutSystem() {}

    /** Puts newer revisions in force, asks for what is missing and tells members that lag. */
    public static void run(Tick tick) {
        takeHeads(tick);
        takeRelays(tick);
        takeSnapshots(tick);
        clearCalls(tick);
        follow(tick);
        relay(tick);
    }

    private static void takeHeads(Tick tick) {
        for (RecordWatched watched : tick.inputs(RecordWatched.class)) {
            if (watched.key().kind() == RecordKind.HEAD) {
                takeHead(tick, watched.record().value());
            }
        }
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            if (read.key().kind() == RecordKind.HEAD) {
                takeHead(
                        tick,
                        read.found().<StoreRecord>map(r -> r.value()).orElse(HeadRecord.EMPTY));
            }
        }
    }

    private static void takeHead(Tick tick, StoreRecord record) {
        if (record instanceof HeadRecord head) {
            if (head.revision() < tick.world().head().record().revision()) {
                tick.count("configuration.older-shown");
            }
            tick.world().headTable().update(World.SELF, h -> h.withHead(head));
        }
    }

    private static void takeRelays(Tick tick) {
        for (PeerMessageReceived received : tick.inputs(PeerMessageReceived.class)) {
            for (var item : received.message().items()) {
                if (item instanceof NoteRelay relay) {
                    ActiveConfiguration.applyNotes(tick, relay.notes());
                }
            }
        }
    }

    private static void takeSnapshots(Tick tick) {
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            if (read.found().isPresent()
                    && read.found().get().value() instanceof SnapshotRecord snapshot) {
                ActiveConfiguration.activate(tick, snapshot.configuration());
            }
        }
    }

    /** Lets the next snapshot be asked for at once, or after a while if this one was not found. */
    private static void clearCalls(Tick tick) {
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            endCall(tick, read.callId(), read.found().isPresent());
        }
        for (StoreFailed failed : tick.inputs(StoreFailed.class)) {
            endCall(tick, failed.callId(), false);
        }
    }

    private static void endCall(Tick tick, long callId, boolean found) {
        Table<RecordKind, StoreCallRow> calls = tick.world().storeCalls();
        boolean ours =
                calls.find(RecordKind.SNAPSHOT).filter(c -> c.callId() == callId).isPresent();
        if (ours && found) {
            calls.remove(RecordKind.SNAPSHOT);
        } else if (ours) {
            long sinceMs = tick.nowMs() - LOST_CALL_MS + RETRY_MS;
            calls.put(RecordKind.SNAPSHOT, new StoreCallRow(0, sinceMs));
        }
    }

    /** Brings the newest known head into force, or asks for the snapshot that is missing. */
    private static void follow(Tick tick) {
        World world = tick.world();
        HeadRecord head = world.head().record();
        if (head.revision() > world.configuration().revision()) {
            ActiveConfiguration.applyNotes(tick, head.notes());
        }
        if (world.configuration().revision() < head.snapshotRevision()) {
            ask(tick, new RecordKey(RecordKind.SNAPSHOT, head.snapshot()));
        }
    }

    private static void ask(Tick tick, RecordKey key) {
        World world = tick.world();
        Optional<StoreCallRow> call = world.storeCalls().find(key.kind());
        if (call.isPresent() && tick.nowMs() - call.get().sinceMs() < LOST_CALL_MS) {
            return;
        }
        long callId = tick.nextCallId();
        world.storeCalls().put(key.kind(), new StoreCallRow(callId, tick.nowMs()));
        tick.emit(new ReadRecord(callId, key));
    }

    /** Relays notes to the members that lag; the members take turns, so that few repeat it. */
    private static void relay(Tick tick) {
        World world = tick.world();
        long revision = world.configuration().revision();
        for (MemberRow member : world.members().rows()) {
            if (member.revision() >= revision || !member.member().state().mayHoldPermits()) {
                continue;
            }
            long dueMs = world.revision().sinceMs() + turnOf(world, member) * RELAY_DELAY_MS;
            String id = member.member().id();
            boolean repeats =
                    world.relays()
                            .find(id)
                            .filter(r -> r.revision() >= revision)
                            .filter(r -> tick.nowMs() - r.sentMs() < RELAY_REPEAT_MS)
                            .isPresent();
            if (tick.nowMs() >= dueMs && !repeats) {
                relayTo(tick, member);
            }
        }
    }

    /** Sends a member the notes that it lacks, if all of them are remembered here. */
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
            if (bytes > RELAY_BYTES) {
                break;
            }
            sent.add(note);
        }
        if (!sent.isEmpty()) {
            tick.count("relay.sent");
            tick.send(id, new NoteRelay(sent));
        }
    }

    /** Returns the place of this entry among the members that can tell a member, from 1. */
    private static long turnOf(World world, MemberRow lagging) {
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
