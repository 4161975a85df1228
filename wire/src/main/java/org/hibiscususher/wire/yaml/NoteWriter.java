package org.hibiscususher.wire.yaml;

import java.util.Collection;
import java.util.Locale;
import java.util.function.Function;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.ConfigurationDelta;
import org.hibiscususher.core.config.Edits;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.config.TeamSpec;

/** Writes declarations as YAML, in the form in which {@link NoteReader} reads them. */
public final class NoteWriter {
    private NoteWriter() {}

    /**
     * Returns a release note that adds the declarations of a configuration to an empty one.
     *
     * <p>Accepting the note yields a revision with a number of its own, not the exported one.
     */
    public static String write(Configuration configuration) {
        StringBuilder text = new StringBuilder();
        text.append("note: export-").append(configuration.revision()).append('\n');
        text.append("author: export\n");
        text.append("summary: state in force at revision ").append(configuration.revision());
        text.append("\nadded:\n");
        appendSection(text, "  ", "pools", configuration.pools().values(), NoteWriter::formatPool);
        appendSection(text, "  ", "hosts", configuration.hosts().values(), NoteWriter::formatHost);
        appendSection(text, "  ", "teams", configuration.teams().values(), NoteWriter::formatTeam);
        appendSection(text, "  ", "keys", configuration.keys().values(), NoteWriter::formatKey);
        appendSection(
                text, "  ", "queues", configuration.queues().values(), NoteWriter::formatQueue);
        return text.toString();
    }

    /** Returns the changes of a revision as text for operators; it is not a release note. */
    public static String write(ConfigurationDelta delta) {
        StringBuilder text = new StringBuilder();
        appendEdits(text, "pools", delta.pools(), NoteWriter::formatPool);
        appendEdits(text, "hosts", delta.hosts(), NoteWriter::formatHost);
        appendEdits(text, "teams", delta.teams(), NoteWriter::formatTeam);
        appendEdits(text, "keys", delta.keys(), NoteWriter::formatKey);
        appendEdits(text, "queues", delta.queues(), NoteWriter::formatQueue);
        return text.toString();
    }

    private static <T> void appendEdits(
            StringBuilder text, String type, Edits<T> edits, Function<T, String> formatter) {
        appendSection(text, "", type + " added or changed", edits.put(), formatter);
        appendSection(text, "", type + " withdrawn", edits.removed(), id -> id);
    }

    private static <T> void appendSection(
            StringBuilder text,
            String indent,
            String type,
            Collection<T> items,
            Function<T, String> formatter) {
        if (items.isEmpty()) {
            return;
        }
        text.append(indent).append(type).append(":\n");
        for (T item : items) {
            text.append(indent).append("  - ").append(formatter.apply(item)).append('\n');
        }
    }

    private static String formatPool(PoolSpec pool) {
        return ("{name: %s, quick reserve: %d, hosts out at most: %d,"
                        + " hosts out at most per zone: %d, spare: %s}")
                .formatted(
                        pool.id(),
                        pool.quickReserve(),
                        pool.budget().maxUnavailable(),
                        pool.budget().maxUnavailablePerZone(),
                        pool.spare() ? "yes" : "no");
    }

    private static String formatHost(HostSpec host) {
        String rack = host.rack().isEmpty() ? "" : ", rack: " + quote(host.rack());
        return ("{name: %s, address: %s, zone: %s%s, pool: %s, slots: %d, cores: %d,"
                        + " memory gb: %d, accelerators: %d}")
                .formatted(
                        host.id(),
                        quote(host.address()),
                        host.zone(),
                        rack,
                        host.pool(),
                        host.slots(),
                        host.capacity().cores(),
                        host.capacity().memoryGb(),
                        host.capacity().accelerators());
    }

    private static String formatTeam(TeamSpec team) {
        return "{name: %s, share: %d, upper limit: %d}"
                .formatted(team.id(), team.share(), team.upperLimit());
    }

    private static String formatKey(KeySpec key) {
        return "{name: %s, team: %s, digest: \"%s\"}"
                .formatted(key.id(), key.team(), key.digest().toHex());
    }

    private static String formatQueue(QueueSpec queue) {
        String open = queue.openTeam().map(t -> ", open to all as team: " + t).orElse("");
        return ("{name: %s, pool: %s, kind: %s%s, waiting at most: %d, wait limit ms: %d,"
                        + " run limit ms: %d}")
                .formatted(
                        queue.id(),
                        queue.pool(),
                        queue.kind().name().toLowerCase(Locale.ROOT),
                        open,
                        queue.maxWaiting(),
                        queue.waitLimitMs(),
                        queue.runLimitMs());
    }

    /** Returns a double-quoted YAML scalar of ASCII characters. */
    private static String quote(String value) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char c : value.toCharArray()) {
            if (c == '"' || c == '\\') {
                quoted.append('\\').append(c);
            } else if (c < ' ' || c > '~') {
                quoted.append(String.format(Locale.ROOT, "\\u%04X", (int) c));
            } else {
                quoted.append(c);
            }
        }
        return quoted.append('"').toString();
    }
}
