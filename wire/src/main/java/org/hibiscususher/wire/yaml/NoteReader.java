package org.hibiscususher.wire.yaml;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.hibiscususher.core.config.AvailabilityBudget;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.note.Declarations;
import org.hibiscususher.core.note.Located;
import org.hibiscususher.core.note.ReleaseNote;
import org.hibiscususher.core.note.Withdrawals;

/** Reads release notes from YAML. */
public final class NoteReader {
    private static final int MAX_HOSTS = 100_000;
    private static final int MAX_SLOTS = 10_000;
    private static final int MAX_SHARE = 1_000_000;
    private static final int MAX_LIMIT = 1_000_000;
    private static final int MAX_MS = 24 * 60 * 60 * 1000;
    private static final int DEFAULT_MAX_WAITING = 1_000;
    private static final int DEFAULT_WAIT_MS = 2_500;
    private static final int DEFAULT_RUN_MS = 30_000;

    private NoteReader() {}

    /**
     * Reads a release note.
     *
     * @param file name for the findings
     * @param text the YAML
     */
    public static ParsedNote read(String file, String text) {
        YamlDocument document = YamlDocument.parse(file, text);
        YamlMap root = document.root();
        String id = root.name("note");
        String author = root.text("author");
        String summary = root.text("summary", "");
        OptionalLong base =
                root.has("base")
                        ? OptionalLong.of(root.integer("base", 0, Integer.MAX_VALUE))
                        : OptionalLong.empty();
        Declarations added = declarations(root.map("added"));
        Declarations changed = declarations(root.map("changed"));
        Withdrawals withdrawn = withdrawals(root.map("withdrawn"));
        root.reportUnknownKeys(
                "note", "author", "summary", "base", "added", "changed", "withdrawn");
        ReleaseNote note = new ReleaseNote(id, author, summary, base, added, changed, withdrawn);
        return new ParsedNote(note, document.findings());
    }

    private static Declarations declarations(YamlMap map) {
        Declarations read =
                new Declarations(
                        each(map, "pools", NoteReader::pool),
                        each(map, "hosts", NoteReader::host),
                        each(map, "teams", NoteReader::team),
                        each(map, "keys", NoteReader::key),
                        each(map, "queues", NoteReader::queue));
        map.reportUnknownKeys("pools", "hosts", "teams", "keys", "queues");
        return read;
    }

    private static Withdrawals withdrawals(YamlMap map) {
        Withdrawals read =
                new Withdrawals(
                        map.names("pools"),
                        map.names("hosts"),
                        map.names("teams"),
                        map.names("keys"),
                        map.names("queues"));
        map.reportUnknownKeys("pools", "hosts", "teams", "keys", "queues");
        return read;
    }

    private static <T> List<Located<T>> each(YamlMap map, String key, Function<YamlMap, T> reader) {
        List<Located<T>> items = new ArrayList<>();
        for (YamlMap item : map.maps(key)) {
            items.add(new Located<>(reader.apply(item), item.place()));
        }
        return items;
    }

    private static PoolSpec pool(YamlMap map) {
        PoolSpec pool =
                new PoolSpec(
                        map.name("name"),
                        map.integer("quick reserve", 0, MAX_LIMIT, 0),
                        new AvailabilityBudget(
                                map.integer("hosts out at most", 1, MAX_HOSTS, 1),
                                map.integer("hosts out at most per zone", 1, MAX_HOSTS, 1)),
                        map.flag("spare", false));
        map.reportUnknownKeys(
                "name",
                "quick reserve",
                "hosts out at most",
                "hosts out at most per zone",
                "spare");
        return pool;
    }

    private static HostSpec host(YamlMap map) {
        HostSpec host =
                new HostSpec(
                        map.name("name"),
                        map.address("address"),
                        map.name("zone"),
                        map.text("rack", ""),
                        map.name("pool"),
                        map.integer("slots", 1, MAX_SLOTS, 8),
                        new Capacity(
                                map.integer("cores", 0, MAX_LIMIT, 0),
                                map.integer("memory gb", 0, MAX_LIMIT, 0),
                                map.integer("accelerators", 0, MAX_LIMIT, 0)));
        map.reportUnknownKeys(
                "name",
                "address",
                "zone",
                "rack",
                "pool",
                "slots",
                "cores",
                "memory gb",
                "accelerators");
        return host;
    }

    private static TeamSpec team(YamlMap map) {
        TeamSpec team =
                new TeamSpec(
                        map.name("name"),
                        map.integer("share", 1, MAX_SHARE),
                        map.integer("upper limit", 0, MAX_LIMIT));
        map.reportUnknownKeys("name", "share", "upper limit");
        return team;
    }

    private static KeySpec key(YamlMap map) {
        String id = map.name("name");
        String team = map.name("team");
        String hex = map.text("digest");
        KeyDigest digest = KeyDigest.ofSecret("");
        try {
            digest = KeyDigest.ofHex(hex);
        } catch (IllegalArgumentException e) {
            map.addFinding(
                    "expected a digest of 64 hexadecimal digits; \"hibiscususher key\" makes one");
        }
        map.reportUnknownKeys("name", "team", "digest");
        return new KeySpec(id, team, digest);
    }

    private static QueueSpec queue(YamlMap map) {
        QueueSpec queue =
                new QueueSpec(
                        map.name("name"),
                        map.name("pool"),
                        map.choice("kind", QueueKind.class, QueueKind.QUICK),
                        map.has("open to all as team")
                                ? Optional.of(map.name("open to all as team"))
                                : Optional.empty(),
                        map.integer("waiting at most", 1, MAX_LIMIT, DEFAULT_MAX_WAITING),
                        map.integer("wait limit ms", 1, MAX_MS, DEFAULT_WAIT_MS),
                        map.integer("run limit ms", 1, MAX_MS, DEFAULT_RUN_MS));
        map.reportUnknownKeys(
                "name",
                "pool",
                "kind",
                "open to all as team",
                "waiting at most",
                "wait limit ms",
                "run limit ms");
        return queue;
    }
}
