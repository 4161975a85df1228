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

/**
 * Commits operators' release notes to the configuration's history, and answers each operator once
 * the roll-out is confirmed or the wait for it is over.
 *
 * <p>A note takes effect by one compare-and-swap of the head, so that it is applied as a whole or
 * not at all. If another note was committed in between, the swap conflicts and the note is checked
 * again on the new head. If the answer to the swap is lost, the head is read again and the note is
 * recognised by its id and digest, so that it is never applied twice.
 */
public final class NoteCommitSystem {
    private static final int FIRST_RETRY_MS = 100;
    private static final int MAX_RETRY_MS = 1_600;

    /** Doublings of the first retry delay until it reaches the maximum. */
    private static final int MAX_DOUBLINGS =
            Integer.numberOfTrailingZeros(MAX_RETRY_MS / FIRST_RETRY_MS);

    private NoteCommitSystem() {}

    /** Applies the answers of the store, then advances each pending note by one step. */
    public static void run(Tick tick) {
        for (NoteSubmitted submitted : tick.inputs(NoteSubmitted.class)) {
            PendingNoteRow row =
                    PendingNoteRow.of(
                            submitted.callId(), submitted.note(), submitted.wallMs(), tick.nowMs());
            put(tick, row);
        }
        applyReads(tick);
        applySwaps(tick);
        retryFailed(tick);
        for (PendingNoteRow row : tick.world().pendingNotes().rows()) {
            advance(tick, row);
        }
        for (PendingNoteRow row : tick.world().pendingNotes().rows()) {
            replyIfDone(tick, row);
        }
    }

    private static void applyReads(Tick tick) {
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            findByStoreCall(tick, read.callId()).ifPresent(r -> applyRead(tick, r, read.found()));
        }
    }

    private static void applyRead(Tick tick, PendingNoteRow row, Optional<VersionedRecord> found) {
        switch (row.state()) {
            case READING -> applyHead(tick, row.withStoreAnswer(), found);
            case LOOKING_UP -> {
                if (found.isPresent() && found.get().value() instanceof NoteRecord known) {
                    resolveCommitted(tick, row, known.revision(), known.digest());
                } else {
                    put(tick, row.withStoreAnswer().withStoreCall(PendingNoteState.CATCHING_UP, 0));
                }
            }
            default -> put(tick, row.withStoreAnswer());
        }
    }

    /** Bases the note on the head that was read, unless its id is in the history already. */
    private static void applyHead(Tick tick, PendingNoteRow row, Optional<VersionedRecord> found) {
        long version = found.map(VersionedRecord::version).orElse(0L);
        HeadRecord head = found.map(r -> (HeadRecord) r.value()).orElse(HeadRecord.EMPTY);
        Optional<AcceptedNote> known = head.find(row.note().id());
        if (known.isPresent()) {
            resolveCommitted(tick, row, known.get().revision(), known.get().digest());
            return;
        }
        PendingNoteRow planned = row.withPlan(NotePlan.of(version, head));
        if (head.history().isEmpty()) {
            put(tick, planned.withStoreCall(PendingNoteState.CATCHING_UP, 0));
            return;
        }
        // Looked up only after the head was read: a note that compaction moved out of the head
        // before that read has a record of its own by now.
        read(
                tick,
                planned,
                PendingNoteState.LOOKING_UP,
                new RecordKey(RecordKind.NOTE, row.note().id()));
    }

    /**
     * Continues a note whose id is in the history: it has been committed if the digests are equal,
     * else the id belongs to a different note.
     */
    private static void resolveCommitted(
            Tick tick, PendingNoteRow row, long revision, String digest) {
        if (digest.equals(NoteDigest.of(row.note()))) {
            awaitRollOut(tick, row, revision);
            return;
        }
        String detail =
                "note "
                        + row.note().id()
                        + " is revision "
                        + revision
                        + " already, with different changes; nothing was changed, submit this"
                        + " note under another id";
        reply(tick, row, NoteResult.CONFLICT, revision, detail, List.of());
    }

    private static void advance(Tick tick, PendingNoteRow row) {
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
            case CATCHING_UP -> checkOnceCurrent(tick, row);
            case FOLDING -> writeHeadOnceRecordsExist(tick, row);
            case ROLLING_OUT -> {
                if (due) {
                    // Members that have joined in the meantime have to confirm as well.
                    read(tick, row, PendingNoteState.ROLLING_OUT, RecordKey.MEMBERSHIP);
                }
            }
            default -> {
                // Waits for the answer to the write of the head.
            }
        }
    }

    /**
     * Checks the note once the configuration of the head that was read is active here; reads the
     * head again if a newer configuration is.
     */
    private static void checkOnceCurrent(Tick tick, PendingNoteRow row) {
        if (!Freshness.mayWriteHead(tick.world())) {
            return;
        }
        long revision = tick.world().configuration().revision();
        long base = row.plan().base().revision();
        if (revision > base) {
            read(tick, row, PendingNoteState.READING, RecordKey.HEAD);
        } else if (revision == base) {
            checkAndWrite(tick, row);
        }
    }

    /** Checks the note against the newest head, and starts to write it if it has no errors. */
    private static void checkAndWrite(Tick tick, PendingNoteRow row) {
        HeadRecord head = row.plan().base();
        if (row.note().baseRevision().isPresent()
                && row.note().baseRevision().getAsLong() != head.revision()) {
            reply(
                    tick,
                    row,
                    NoteResult.CONFLICT,
                    head.revision(),
                    conflictDetail(row.note().baseRevision().getAsLong(), head),
                    List.of());
            return;
        }
        NoteCheckResult checked = NoteChecker.check(row.note(), tick.world().configuration());
        if (!checked.acceptable()) {
            reply(
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
        HeadUpdate update = HeadUpdate.of(head, accepted, checked.configuration());
        PendingNoteRow planned =
                row.withPlan(row.plan().checked(update.head(), checked.findings()));
        if (update.writes().isEmpty()) {
            writeHead(tick, planned);
            return;
        }
        put(tick, planned.withStoreCall(PendingNoteState.FOLDING, 0));
        for (HeadUpdate.Write write : update.writes()) {
            writeRecord(
                    tick, new CompactionWriteRow(0, row.callId(), write.key(), write.value(), -1));
        }
        tick.emit(
                new LogEvent(
                        "event=history-folded revision="
                                + head.revision()
                                + " records="
                                + update.writes().size()));
    }

    private static String conflictDetail(long base, HeadRecord head) {
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

    /** Creates a record that the new head refers to, unless the record exists. */
    private static void writeRecord(Tick tick, CompactionWriteRow write) {
        long callId = tick.nextCallId();
        CompactionWriteRow sent =
                new CompactionWriteRow(callId, write.noteCallId(), write.key(), write.value(), -1);
        tick.world().compactionWrites().put(callId, sent);
        tick.emit(new SwapRecord(callId, write.key(), 0, write.value()));
    }

    /**
     * Repeats failed writes of records, and writes the head once every record it refers to exists.
     */
    private static void writeHeadOnceRecordsExist(Tick tick, PendingNoteRow row) {
        boolean allWritten = true;
        for (CompactionWriteRow write : tick.world().compactionWrites().rows()) {
            if (write.noteCallId() != row.callId()) {
                continue;
            }
            allWritten = false;
            if (write.retryAtMs() >= 0 && tick.nowMs() >= write.retryAtMs()) {
                tick.world().compactionWrites().remove(write.storeCallId());
                writeRecord(tick, write);
            }
        }
        if (allWritten && Freshness.mayWriteHead(tick.world())) {
            writeHead(tick, row);
        }
    }

    private static void applySwaps(Tick tick) {
        for (RecordSwapped swapped : tick.inputs(RecordSwapped.class)) {
            tick.world()
                    .compactionWrites()
                    .find(swapped.callId())
                    .ifPresent(w -> applyRecordWrite(tick, w, swapped.result()));
            findByStoreCall(tick, swapped.callId())
                    .ifPresent(r -> applyHeadWrite(tick, r, swapped.result()));
        }
    }

    /**
     * Applies the result of writing a record that the head refers to. A conflict means that the
     * record exists already: its name determines its content, so that counts as written.
     */
    private static void applyRecordWrite(Tick tick, CompactionWriteRow write, SwapResult result) {
        if (result == SwapResult.UNKNOWN) {
            CompactionWriteRow later = write.withRetryAt(tick.nowMs() + FIRST_RETRY_MS);
            tick.world().compactionWrites().put(write.storeCallId(), later);
        } else {
            tick.world().compactionWrites().remove(write.storeCallId());
        }
    }

    /**
     * Applies the result of the compare-and-swap of the head. A committed note is relayed at once,
     * and a conflict starts again from the new head.
     */
    private static void applyHeadWrite(Tick tick, PendingNoteRow row, SwapResult result) {
        switch (result) {
            case SWAPPED -> {
                HeadRecord next = row.plan().next();
                tick.world().headTable().update(World.SELF, h -> h.withHead(next));
                ActiveConfiguration.applyNotes(tick, next.notes());
                for (MemberRow member : tick.world().members().rows()) {
                    RollOutSystem.relayTo(tick, member);
                }
                awaitRollOut(tick, row, next.revision());
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

    /** Starts to wait until the members confirm a revision that is known to be written. */
    private static void awaitRollOut(Tick tick, PendingNoteRow row, long revision) {
        put(tick, row.withWritten(revision, tick.nowMs()));
    }

    private static void retryFailed(Tick tick) {
        for (StoreFailed failed : tick.inputs(StoreFailed.class)) {
            findByStoreCall(tick, failed.callId()).ifPresent(r -> retry(tick, r, r.state()));
        }
    }

    /** Repeats the store call of a state after a delay that doubles with each failure in a row. */
    private static void retry(Tick tick, PendingNoteRow row, PendingNoteState from) {
        tick.count("note.store-retry");
        int doublings = Math.min(row.failures(), MAX_DOUBLINGS);
        long delayMs = Math.min(MAX_RETRY_MS, (long) FIRST_RETRY_MS << doublings);
        put(tick, row.withRetryAt(from, tick.nowMs() + delayMs));
    }

    private static void read(Tick tick, PendingNoteRow row, PendingNoteState state, RecordKey key) {
        long callId = tick.nextCallId();
        put(tick, row.withStoreCall(state, callId));
        tick.emit(new ReadRecord(callId, key));
    }

    /**
     * Answers the operator if the roll-out of the note is confirmed or the longest wait is over.
     */
    private static void replyIfDone(Tick tick, PendingNoteRow row) {
        World world = tick.world();
        boolean rollingOut = row.state() == PendingNoteState.ROLLING_OUT;
        boolean membersRead = rollingOut && row.storeCallId() == 0 && row.retryAtMs() < 0;
        if (membersRead && world.configuration().revision() >= row.revision()) {
            RollOutConfirmation confirmation =
                    RollOutConfirmation.of(world, row.revision(), row.writtenMs(), tick.nowMs());
            if (confirmation.complete()) {
                reply(
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
            String detail = "written, but not confirmed by " + confirmation.describeLagging(world);
            List<Finding> warnings = row.plan().warnings();
            reply(tick, row, NoteResult.WRITTEN, row.revision(), detail, warnings);
        } else {
            reply(tick, row, NoteResult.UNAVAILABLE, 0, unavailableDetail(world, row), List.of());
        }
    }

    private static String unavailableDetail(World world, PendingNoteRow row) {
        if (row.mayBeWritten() || row.state() == PendingNoteState.WRITING) {
            return "the platform's store did not say whether the note was written; send the same"
                    + " note again to find out";
        }
        if (!Freshness.mayWriteHead(world)) {
            return world.node().identity().id()
                    + " is not yet known to every member; nothing was changed, send the same note"
                    + " to another entry";
        }
        return "the platform's store gave no answer; nothing was changed, send the same note"
                + " again";
    }

    private static Optional<PendingNoteRow> findByStoreCall(Tick tick, long storeCallId) {
        return tick.world().pendingNotes().rows().stream()
                .filter(r -> r.storeCallId() == storeCallId)
                .findFirst();
    }

    private static void put(Tick tick, PendingNoteRow row) {
        tick.world().pendingNotes().put(row.callId(), row);
    }

    private static void reply(
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
