package org.hibiscususher.core.rollout;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.message.Input.NoteSubmitted;
import org.hibiscususher.core.message.Input.PeerReceived;
import org.hibiscususher.core.message.Input.RecordRead;
import org.hibiscususher.core.message.Input.RecordSwapped;
import org.hibiscususher.core.message.Input.RecordWatched;
import org.hibiscususher.core.message.Input.StoreFailed;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.message.Output.AnswerNote;
import org.hibiscususher.core.message.Output.LogEvent;
import org.hibiscususher.core.message.Output.ReadRecord;
import org.hibiscususher.core.message.Output.SwapRecord;
import org.hibiscususher.core.message.PeerItem.Relay;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.core.note.CheckedNote;
import org.hibiscususher.core.note.NoteChecker;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.HostStage;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.PendingNoteRow;
import org.hibiscususher.core.world.PendingNoteState;
import org.hibiscususher.core.world.RevisionRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Brings accepted release notes into force; revisions only go forward. */
public final class RollOutSystem {
    private RollOutSystem() {}

    /** Takes in newer revisions and moves operators' notes one step on. */
    public static void run(Tick tick) {
        takeRecords(tick);
        takeRelays(tick);
        submitNotes(tick);
        settleReads(tick);
        settleSwaps(tick);
        failCalls(tick);
        confirm(tick);
    }

    private static void takeRecords(Tick tick) {
        for (RecordWatched watched : tick.inputs(RecordWatched.class)) {
            take(tick, watched.record());
        }
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            read.found().ifPresent(r -> take(tick, r));
        }
    }

    private static void take(Tick tick, VersionedRecord record) {
        if (record.value() instanceof HeadRecord head) {
            putInForce(tick, head.configuration(), record.version());
        }
    }

    private static void takeRelays(Tick tick) {
        for (PeerReceived received : tick.inputs(PeerReceived.class)) {
            for (var item : received.message().items()) {
                if (item instanceof Relay relay) {
                    putInForce(tick, relay.configuration(), 0);
                }
            }
        }
    }

    /** Puts a configuration in force here if it is newer than the present one. */
    private static void putInForce(Tick tick, Configuration next, long version) {
        World world = tick.world();
        if (next.revision() <= world.configuration().revision()) {
            return;
        }
        world.revisionTable().put(World.SELF, new RevisionRow(next, version, tick.nowMs()));
        world.keys().clear();
        for (KeySpec key : next.keys().values()) {
            world.keys().put(key.digest(), key);
        }
        world.hosts().removeIf(h -> !next.hosts().containsKey(h.spec().id()));
        for (HostSpec spec : next.hosts().values()) {
            HostRow row =
                    world.hosts()
                            .find(spec.id())
                            .map(h -> h.withSpec(spec))
                            .orElse(new HostRow(spec, spec.pool(), HostStage.IN_SERVICE, 0, 0));
            world.hosts().put(spec.id(), row);
        }
        tick.emit(new LogEvent("event=in-force revision=" + next.revision()));
        for (MemberRow member : world.members().rows()) {
            if (member.revision() < next.revision()) {
                tick.tell(member.member().id(), new Relay(next));
            }
        }
    }

    private static void submitNotes(Tick tick) {
        for (NoteSubmitted submitted : tick.inputs(NoteSubmitted.class)) {
            PendingNoteRow row =
                    new PendingNoteRow(
                            submitted.callId(),
                            submitted.note(),
                            PendingNoteState.READING,
                            0,
                            0,
                            tick.nowMs());
            readHead(tick, row, PendingNoteState.READING);
        }
    }

    private static void readHead(Tick tick, PendingNoteRow row, PendingNoteState state) {
        long callId = tick.nextCallId();
        tick.world().pendingNotes().put(row.callId(), row.withState(state, callId, 0));
        tick.emit(new ReadRecord(callId, RecordKey.HEAD));
    }

    private static void settleReads(Tick tick) {
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            for (PendingNoteRow row : tick.world().pendingNotes().rows()) {
                if (row.storeCallId() == read.callId()) {
                    proceed(tick, row, read.found());
                }
            }
        }
    }

    private static void proceed(Tick tick, PendingNoteRow row, Optional<VersionedRecord> found) {
        long version = found.map(VersionedRecord::version).orElse(0L);
        HeadRecord head =
                found.map(r -> (HeadRecord) r.value())
                        .orElse(new HeadRecord("", "", "", Configuration.EMPTY));
        long revision = head.configuration().revision();
        if (head.noteId().equals(row.note().id())) {
            rollOut(tick, row, revision);
            return;
        }
        if (row.note().base().isPresent() && row.note().base().getAsLong() != revision) {
            String detail =
                    "revision "
                            + revision
                            + " by "
                            + head.author()
                            + " came first: "
                            + head.summary();
            answer(
                    tick,
                    row,
                    new AnswerNote(row.callId(), NoteResult.CONFLICT, revision, detail, List.of()));
            return;
        }
        CheckedNote checked = NoteChecker.check(row.note(), head.configuration());
        if (!checked.findings().isEmpty()) {
            answer(
                    tick,
                    row,
                    new AnswerNote(
                            row.callId(),
                            NoteResult.FAULTY,
                            revision,
                            "nothing was changed",
                            checked.findings()));
            return;
        }
        long callId = tick.nextCallId();
        HeadRecord next =
                new HeadRecord(
                        row.note().id(),
                        row.note().author(),
                        row.note().summary(),
                        checked.result());
        tick.world()
                .pendingNotes()
                .put(row.callId(), row.withState(PendingNoteState.WRITING, callId, revision + 1));
        tick.emit(new SwapRecord(callId, RecordKey.HEAD, version, next));
    }

    private static void settleSwaps(Tick tick) {
        for (RecordSwapped swapped : tick.inputs(RecordSwapped.class)) {
            for (PendingNoteRow row : tick.world().pendingNotes().rows()) {
                if (row.storeCallId() != swapped.callId()) {
                    continue;
                }
                switch (swapped.result()) {
                    case SWAPPED -> rollOut(tick, row, row.revision());
                    case CONFLICT -> readHead(tick, row, PendingNoteState.READING);
                    default -> readHead(tick, row, PendingNoteState.SETTLING);
                }
            }
        }
    }

    private static void rollOut(Tick tick, PendingNoteRow row, long revision) {
        tick.world()
                .pendingNotes()
                .put(row.callId(), row.withState(PendingNoteState.ROLLING_OUT, 0, revision));
        if (tick.world().configuration().revision() < revision) {
            tick.emit(new ReadRecord(tick.nextCallId(), RecordKey.HEAD));
        }
    }

    private static void failCalls(Tick tick) {
        for (StoreFailed failed : tick.inputs(StoreFailed.class)) {
            for (PendingNoteRow row : tick.world().pendingNotes().rows()) {
                if (row.storeCallId() == failed.callId()) {
                    readHead(tick, row, row.state());
                }
            }
        }
    }

    /** Answers the operators whose notes are in force everywhere or have waited long enough. */
    private static void confirm(Tick tick) {
        World world = tick.world();
        for (PendingNoteRow row : world.pendingNotes().rows()) {
            boolean rollingOut = row.state() == PendingNoteState.ROLLING_OUT;
            if (rollingOut && inForceEverywhere(world, row.revision())) {
                answer(
                        tick,
                        row,
                        new AnswerNote(
                                row.callId(),
                                NoteResult.ACCEPTED,
                                row.revision(),
                                "in force on every member",
                                List.of()));
            } else if (tick.nowMs() - row.sinceMs() >= world.settings().rollOutWaitMs()) {
                NoteResult result = rollingOut ? NoteResult.WRITTEN : NoteResult.UNAVAILABLE;
                String detail =
                        rollingOut
                                ? "written, but not every member has confirmed it"
                                : "the platform's store gave no answer; send the same note again";
                answer(
                        tick,
                        row,
                        new AnswerNote(row.callId(), result, row.revision(), detail, List.of()));
            }
        }
    }

    private static boolean inForceEverywhere(World world, long revision) {
        return world.configuration().revision() >= revision
                && world.members().rows().stream().allMatch(m -> m.revision() >= revision);
    }

    private static void answer(Tick tick, PendingNoteRow row, AnswerNote answer) {
        tick.world().pendingNotes().remove(row.callId());
        tick.count("note." + answer.result().name().toLowerCase(java.util.Locale.ROOT));
        tick.emit(answer);
    }
}
