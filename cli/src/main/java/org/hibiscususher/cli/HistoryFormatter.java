package org.hibiscususher.cli;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import org.hibiscususher.core.message.Output.ReplyToHistory;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.wire.yaml.NoteWriter;

/** Formats accepted release notes for a terminal. */
final class HistoryFormatter {
    private static final DateTimeFormatter TIME_FORMAT =
            DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss'Z'").withZone(ZoneOffset.UTC);

    private HistoryFormatter() {}

    /** Returns a table with one row for each note. */
    static String formatList(ReplyToHistory reply) {
        StringBuilder text = new StringBuilder();
        text.append(row("REVISION", "WRITTEN", "AUTHOR", "NOTE", "CHANGES", "SUMMARY"));
        for (AcceptedNote note : reply.notes()) {
            text.append(
                    row(
                            Long.toString(note.revision()),
                            formatTime(note),
                            note.author(),
                            note.id(),
                            note.changeSummary(),
                            note.summary()));
        }
        return text.append(detailLine(reply)).toString();
    }

    /** Returns all fields of each note, and its content unless that was too large to keep. */
    static String formatNotes(ReplyToHistory reply) {
        StringBuilder text = new StringBuilder();
        for (AcceptedNote note : reply.notes()) {
            text.append("revision: ").append(note.revision()).append('\n');
            text.append("note: ").append(note.id()).append('\n');
            text.append("author: ").append(note.author()).append('\n');
            text.append("summary: ").append(note.summary()).append('\n');
            text.append("written: ").append(formatTime(note)).append('\n');
            text.append("changes: ").append(note.changeSummary()).append('\n');
            text.append(
                    note.hasDelta()
                            ? NoteWriter.write(note.delta())
                            : "too large to list; \"export\" shows the state in force\n");
        }
        return text.append(detailLine(reply)).toString();
    }

    private static String row(
            String revision,
            String time,
            String author,
            String note,
            String changes,
            String summary) {
        return String.format(
                        Locale.ROOT,
                        "%8s  %-20s  %-12s  %-24s  %-20s  %s",
                        revision,
                        time,
                        author,
                        note,
                        changes,
                        summary)
                .stripTrailing()
                .concat("\n");
    }

    private static String formatTime(AcceptedNote note) {
        return TIME_FORMAT.format(Instant.ofEpochMilli(note.writtenMs()));
    }

    private static String detailLine(ReplyToHistory reply) {
        return reply.detail().isEmpty() ? "" : reply.detail() + "\n";
    }
}
