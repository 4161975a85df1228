package org.hibiscususher.core.rollout;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.message.Input.NoteSubmitted;
import org.hibiscususher.core.message.Input.RecordRead;
import org.hibiscususher.core.message.Input.RecordSwapped;
import org.hibiscususher.core.message.Input.StoreFailed;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.message.Output.LogEvent;
import org.hibiscususher.core.message.Output.ReadRecord;
import org.hibiscususher.core.message.Output.ReplyToNote;
import org.hibiscususher.core.message.Output.SwapRecord;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.RecordKind;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.message.StoreRecord.NoteRecord;
import org.hibiscususher.core.message.SwapResult;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.core.note.Finding;
import org.hibiscususher.core.note.NoteCheckResult;
import org.hibiscususher.core.note.NoteChecker;
import org.hibiscususher.core.note.NoteDigest;
import org.hibiscususher.core.world.CompactionWriteRow;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.NotePlan;
import org.hibiscususher.core.world.PendingNoteRow;
import org.hibiscususher.core.world.PendingNoteState;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Brings operators' release notes into force, each by one compare-and-swap of the head. */
public final class NoteCommitSystem {
    private static final int FIRST_RETRY_MS = 100;
    private static final int MAX_RETRY_MS = 1_600;

    private NoteCommitSystem() {}

    /** Moves each note one step on. */
    public static void run(Tick tick) {
        for (NoteSubmitted submitted : tick.inputs(NoteSubmitted.class)) {
            PendingNoteRow row =
                    PendingNoteRow.of(
                            submitted.callId(), submitted.note(), submitted.wallMs(), tick.nowMs());
            put(tick, row);
        }
        settleReads(tick);
        settleSwaps(tick);
        settleFailures(tick);
        for (PendingNoteRow row : tick.world().pendingNotes().rows()) {
            proceed(tick, row);
        }
        for (PendingNoteRow row : tick.world().pendingNotes().rows()) {
            confirm(tick, row);
        }
    }

    private static void settleReads(Tick tick) {
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            find(tick, read.callId()).ifPresent(r -> settleRead(tick, r, read.found()));
        }
    }

    private static void settleRead(Tick tick, PendingNoteRow row, Optional<VersionedRecord> found) {
        switch (row.state()) {
            case READING -> takeHead(tick, row.withStoreAnswer(), found);
            case LOOKING_UP -> {
                if (found.isPresent() && found.get().value() instanceof NoteRecord known) {
                    recognise(tick, row, known.revision(), known.digest());
                } else {
                    put(tick, row.withStoreAnswer().withStoreCall(PendingNoteState.CATCHING_UP, 0));
                }
            }
            default -> put(tick, row.withStoreAnswer());
        }
    }

    private static void takeHead(Tick tick, PendingNoteRow row, Optional<VersionedRecord> found) {
        long version = found.map(VersionedRecord::version).orElse(0L);
        HeadRecord head = found.map(r -> (HeadRecord) r.value()).orElse(HeadRecord.EMPTY);
        Optional<AcceptedNote> known = head.find(row.note().id());
        if (known.isPresent()) {
            recognise(tick, row, known.get().revision(), known.get().digest());
            return;
        }
        PendingNoteRow planned = row.withPlan(NotePlan.of(version, head));
        if (head.history().isEmpty()) {
            put(tick, planned.withStoreCall(PendingNoteState.CATCHING_UP, 0));
            return;
        }
        // Asked after the head was read: a note that left the head before then is found.
        read(
                tick,
                planned,
                PendingNoteState.LOOKING_UP,
                new RecordKey(RecordKind.NOTE, row.note().id()));
    }

    /** Deals with a note whose id is in the history. */
    private static void recognise(Tick tick, PendingNoteRow row, long revision, String digest) {
        if (digest.equals(NoteDigest.of(row.note()))) {
            written(tick, row, revision);
            return;
        }
        String detail =
                "note "
                        + row.note().id()
                        + " is revision "
                        + revision
                        + " already and asked for something else; nothing was changed, give this"
                        + " note an id of its own";
        answer(tick, row, NoteResult.CONFLICT, revision, detail, List.of());
    }

    private static void proceed(Tick tick, PendingNoteRow row) {
        boolean due = row.retryAtMs() >= 0 && tick.nowMs() >= row.retryAtMs();
        switch (row.state()) {
            case READING -> {
                if (due) {
                    read(tick, row, PendingNoteState.READING, RecordKey.HEAD);
                }
            }
            case LOOKING_UP -> {
                if (due) {
                    read(
                            tick,
                            row,
                            PendingNoteState.LOOKING_UP,
                            new RecordKey(RecordKind.NOTE, row.note().id()));
                }
            }
            case CATCHING_UP -> catchUp(tick, row);
            case FOLDING -> writeFolds(tick, row);
            case ROLLING_OUT -> {
                if (due) {
                    // Members that joined until now have to confirm too.
                    read(tick, row, PendingNoteState.ROLLING_OUT, RecordKey.MEMBERSHIP);
                }
            }
            default -> {
                // Waits for the answer to its write.
            }
        }
    }

    /** Checks the note once the configuration that it builds on is in force here. */
    private static void catchUp(Tick tick, PendingNoteRow row) {
        if (!Freshness.mayWriteHead(tick.world())) {
            return;
        }
        long revision = tick.world().configuration().revision();
        long base = row.plan().base().revision();
        if (revision > base) {
            read(tick, row, PendingNoteState.READING, RecordKey.HEAD);
        } else if (revision == base) {
            check(tick, row);
        }
    }

    private static void check(Tick tick, PendingNoteRow row) {
        HeadRecord head = row.plan().base();
        if (row.note().baseRevision().isPresent()
                && row.note().baseRevision().getAsLong() != head.revision()) {
            answer(
                    tick,
                    row,
                    NoteResult.CONFLICT,
                    head.revision(),
                    conflict(row.note().baseRevision().getAsLong(), head),
                    List.of());
            return;
        }
        NoteCheckResult checked = NoteChecker.check(row.note(), tick.world().configuration());
        if (!checked.acceptable()) {
            answer(
                    tick,
                    row,
                    NoteResult.FAULTY,
                    head.revision(),
                    "nothing was changed",
                    checked.findings());
            return;
        }
        AcceptedNote accepted =
                new AcceptedNote(
                        head.revision() + 1,
                        row.note().id(),
                        row.note().author(),
                        row.note().summary(),
                        row.wallMs(),
                        NoteDigest.of(row.note()),
                        checked.delta().summary(),
                        checked.delta(),
                        true);
        HeadUpdate plan = HeadUpdate.of(head, accepted, checked.configuration());
        PendingNoteRow planned = row.withPlan(row.plan().checked(plan.head(), checked.findings()));
        if (plan.writes().isEmpty()) {
            writeHead(tick, planned);
            return;
        }
        put(tick, planned.withStoreCall(PendingNoteState.FOLDING, 0));
        for (HeadUpdate.Write write : plan.writes()) {
            fold(tick, new CompactionWriteRow(0, row.callId(), write.key(), write.value(), -1));
        }
        tick.emit(
                new LogEvent(
                        "event=history-folded revision="
                                + head.revision()
                                + " records="
                                + plan.writes().size()));
    }

    private static String conflict(long base, HeadRecord head) {
        if (base > head.revision()) {
            return "the note builds on revision "
                    + base
                    + ", but the newest is "
                    + head.revision()
                    + "; nothing was changed";
        }
        AcceptedNote newest = head.notes().get(head.notes().size() - 1);
        return "the note builds on revision "
                + base
                + ", but revision "
                + newest.revision()
                + " by "
                + newest.author()
                + " came first (note "
                + newest.id()
                + ": "
                + newest.summary()
                + "); nothing was changed";
    }

    private static void writeHead(Tick tick, PendingNoteRow row) {
        long callId = tick.nextCallId();
        put(tick, row.withStoreCall(PendingNoteState.WRITING, callId));
        tick.emit(new SwapRecord(callId, RecordKey.HEAD, row.plan().version(), row.plan().next()));
    }

    private static void fold(Tick tick, CompactionWriteRow write) {
        long callId = tick.nextCallId();
        CompactionWriteRow out =
                new CompactionWriteRow(callId, write.noteCallId(), write.key(), write.value(), -1);
        tick.world().compactionWrites().put(callId, out);
        tick.emit(new SwapRecord(callId, write.key(), 0, write.value()));
    }

    /** Writes the head once every record that it names is written. */
    private static void writeFolds(Tick tick, PendingNoteRow row) {
        boolean done = true;
        for (CompactionWriteRow write : tick.world().compactionWrites().rows()) {
            if (write.noteCallId() != row.callId()) {
                continue;
            }
            done = false;
            if (write.retryAtMs() >= 0 && tick.nowMs() >= write.retryAtMs()) {
                tick.world().compactionWrites().remove(write.storeCallId());
                fold(tick, write);
            }
        }
        if (done && Freshness.mayWriteHead(tick.world())) {
            writeHead(tick, row);
        }
    }

    private static void settleSwaps(Tick tick) {
        for (RecordSwapped swapped : tick.inputs(RecordSwapped.class)) {
            tick.world()
                    .compactionWrites()
                    .find(swapped.callId())
                    .ifPresent(w -> settleFold(tick, w, swapped.result()));
            find(tick, swapped.callId()).ifPresent(r -> settleHead(tick, r, swapped.result()));
        }
    }

    /** A conflict means that the record, whose name tells its content, is there already. */
    private static void settleFold(Tick tick, CompactionWriteRow write, SwapResult result) {
        if (result == SwapResult.UNKNOWN) {
            CompactionWriteRow later = write.withRetryAt(tick.nowMs() + FIRST_RETRY_MS);
            tick.world().compactionWrites().put(write.storeCallId(), later);
        } else {
            tick.world().compactionWrites().remove(write.storeCallId());
        }
    }

    private static void settleHead(Tick tick, PendingNoteRow row, SwapResult result) {
        switch (result) {
            case SWAPPED -> {
                HeadRecord next = row.plan().next();
                tick.world().headTable().update(World.SELF, h -> h.withHead(next));
                ActiveConfiguration.applyNotes(tick, next.notes());
                for (MemberRow member : tick.world().members().rows()) {
                    RollOutSystem.relayTo(tick, member);
                }
                written(tick, row, next.revision());
            }
            case CONFLICT -> {
                tick.count("note.raced");
                read(tick, row, PendingNoteState.READING, RecordKey.HEAD);
            }
            default -> {
                tick.count("note.answer-lost");
                retry(tick, row.withUncertainWrite(), PendingNoteState.READING);
            }
        }
    }

    private static void written(Tick tick, PendingNoteRow row, long revision) {
        put(tick, row.withWritten(revision, tick.nowMs()));
    }

    private static void settleFailures(Tick tick) {
        for (StoreFailed failed : tick.inputs(StoreFailed.class)) {
            find(tick, failed.callId()).ifPresent(r -> retry(tick, r, r.state()));
        }
    }

    private static void retry(Tick tick, PendingNoteRow row, PendingNoteState from) {
        tick.count("note.store-retry");
        int doublings = Math.min(row.failures(), Integer.numberOfTrailingZeros(16));
        long delayMs = Math.min(MAX_RETRY_MS, (long) FIRST_RETRY_MS << doublings);
        put(tick, row.withRetryAt(from, tick.nowMs() + delayMs));
    }

    private static void read(Tick tick, PendingNoteRow row, PendingNoteState state, RecordKey key) {
        long callId = tick.nextCallId();
        put(tick, row.withStoreCall(state, callId));
        tick.emit(new ReadRecord(callId, key));
    }

    /** Answers the operator if the note is in force everywhere or the wait is over. */
    private static void confirm(Tick tick, PendingNoteRow row) {
        World world = tick.world();
        boolean rollingOut = row.state() == PendingNoteState.ROLLING_OUT;
        boolean membersKnown = rollingOut && row.storeCallId() == 0 && row.retryAtMs() < 0;
        if (membersKnown && world.configuration().revision() >= row.revision()) {
            RollOutConfirmation confirmation =
                    RollOutConfirmation.of(world, row.revision(), row.writtenMs(), tick.nowMs());
            if (confirmation.complete()) {
                answer(
                        tick,
                        row,
                        NoteResult.ACCEPTED,
                        row.revision(),
                        confirmation.detail(),
                        row.plan().warnings());
                return;
            }
        }
        if (tick.nowMs() - row.sinceMs() < world.settings().rollOutWaitMs()) {
            return;
        }
        if (rollingOut) {
            RollOutConfirmation confirmation =
                    RollOutConfirmation.of(world, row.revision(), row.writtenMs(), tick.nowMs());
            String detail = "written, but not confirmed by " + confirmation.laggards(world);
            List<Finding> warnings = row.plan().warnings();
            answer(tick, row, NoteResult.WRITTEN, row.revision(), detail, warnings);
        } else {
            answer(tick, row, NoteResult.UNAVAILABLE, 0, unavailable(world, row), List.of());
        }
    }

    private static String unavailable(World world, PendingNoteRow row) {
        if (row.mayBeWritten() || row.state() == PendingNoteState.WRITING) {
            return "the platform's store did not say whether the note was written; send the same"
                    + " note again to learn it";
        }
        if (!Freshness.mayWriteHead(world)) {
            return world.node().identity().id()
                    + " is not known to every member yet; nothing was changed, send the same note"
                    + " to another entry";
        }
        return "the platform's store gave no answer; nothing was changed, send the same note"
                + " again";
    }

    private static Optional<PendingNoteRow> find(Tick tick, long storeCallId) {
        return tick.world().pendingNotes().rows().stream()
                .filter(r -> r.storeCallId() == storeCallId)
                .findFirst();
    }

    private static void put(Tick tick, PendingNoteRow row) {
        tick.world().pendingNotes().put(row.callId(), row);
    }

    private static void answer(
            Tick tick,
            PendingNoteRow row,
            NoteResult result,
            long revision,
            String detail,
            List<Finding> findings) {
        tick.world().pendingNotes().remove(row.callId());
        tick.world().compactionWrites().removeIf(w -> w.noteCallId() == row.callId());
        tick.count("note." + result.name().toLowerCase(java.util.Locale.ROOT));
        tick.emit(new ReplyToNote(row.callId(), result, revision, detail, findings));
    }
}
