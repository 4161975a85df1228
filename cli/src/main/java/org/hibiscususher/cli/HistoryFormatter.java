package org.hibiscususher.cli;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import org.hibiscususher.core.message.Output.ReplyToHistory;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.wire.yaml.NoteWriter;

/** Writes accepted notes for a terminal. */
final class HistoryFormatter {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss'Z'").withZone(ZoneOffset.UTC);

    private HistoryFormatter() {}

    /** Returns one line a note. */
    static String list(ReplyToHistory answer) {
        StringBuilder text = new StringBuilder();
        text.append(line("REVISION", "WRITTEN", "AUTHOR", "NOTE", "CHANGES", "SUMMARY"));
        for (AcceptedNote note : answer.notes()) {
            text.append(
                    line(
                            Long.toString(note.revision()),
                            time(note),
                            note.author(),
                            note.id(),
                            note.changeSummary(),
                            note.summary()));
        }
        return text.append(detail(answer)).toString();
    }

    /** Returns all that is known of the notes. */
    static String show(ReplyToHistory answer) {
        StringBuilder text = new StringBuilder();
        for (AcceptedNote note : answer.notes()) {
            text.append("revision: ").append(note.revision()).append('\n');
            text.append("note: ").append(note.id()).append('\n');
            text.append("author: ").append(note.author()).append('\n');
            text.append("summary: ").append(note.summary()).append('\n');
            text.append("written: ").append(time(note)).append('\n');
            text.append("changes: ").append(note.changeSummary()).append('\n');
            text.append(
                    note.hasDelta()
                            ? NoteWriter.write(note.delta())
                            : "too large to list; \"export\" shows the state in force\n");
        }
        return text.append(detail(answer)).toString();
    }

    private static String line(
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

    private static String time(AcceptedNote note) {
        return TIME.format(Instant.ofEpochMilli(note.writtenMs()));
    }

    private static String detail(ReplyToHistory answer) {
        return answer.detail().isEmpty() ? "" : answer.detail() + "\n";
    }
}
