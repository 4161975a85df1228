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

/** Reads release notes, which operators write in YAML. */
public final class NoteReader {
    private static final int MAX_HOSTS = 100_000;
    private static final int MAX_SLOTS = 10_000;
    private static final int MAX_SHARE = 1_000_000;
    private static final int MAX_COUNT = 1_000_000;
    private static final int MAX_LIMIT_MS = 24 * 60 * 60 * 1000;
    private static final int DEFAULT_MAX_WAITING = 1_000;
    private static final int DEFAULT_WAIT_LIMIT_MS = 2_500;
    private static final int DEFAULT_RUN_LIMIT_MS = 30_000;

    private NoteReader() {}

    /**
     * Reads a release note and checks the form of each value. Whether the note fits the
     * configuration in force is not checked here.
     *
     * @param file name of the file, for the findings
     * @param text content of the file
     */
    public static ParsedNote read(String file, String text) {
        YamlDocument document = YamlDocument.parse(file, text);
        YamlMap root = document.root();
        String id = root.name("note");
        String author = root.text("author");
        String summary = root.text("summary", "");
        OptionalLong baseRevision =
                root.has("base")
                        ? OptionalLong.of(root.integer("base", 0, Integer.MAX_VALUE))
                        : OptionalLong.empty();
        Declarations added = readDeclarations(root.map("added"));
        Declarations changed = readDeclarations(root.map("changed"));
        Withdrawals withdrawn = readWithdrawals(root.map("withdrawn"));
        root.reportUnknownKeys(
                "note", "author", "summary", "base", "added", "changed", "withdrawn");
        ReleaseNote note =
                new ReleaseNote(id, author, summary, baseRevision, added, changed, withdrawn);
        return new ParsedNote(note, document.findings());
    }

    private static Declarations readDeclarations(YamlMap map) {
        Declarations declarations =
                new Declarations(
                        readAll(map, "pools", NoteReader::readPool),
                        readAll(map, "hosts", NoteReader::readHost),
                        readAll(map, "teams", NoteReader::readTeam),
                        readAll(map, "keys", NoteReader::readKey),
                        readAll(map, "queues", NoteReader::readQueue));
        map.reportUnknownKeys("pools", "hosts", "teams", "keys", "queues");
        return declarations;
    }

    private static Withdrawals readWithdrawals(YamlMap map) {
        Withdrawals withdrawals =
                new Withdrawals(
                        map.names("pools"),
                        map.names("hosts"),
                        map.names("teams"),
                        map.names("keys"),
                        map.names("queues"));
        map.reportUnknownKeys("pools", "hosts", "teams", "keys", "queues");
        return withdrawals;
    }

    private static <T> List<Located<T>> readAll(
            YamlMap map, String key, Function<YamlMap, T> reader) {
        List<Located<T>> items = new ArrayList<>();
        for (YamlMap item : map.maps(key)) {
            items.add(new Located<>(reader.apply(item), item.location()));
        }
        return items;
    }

    private static PoolSpec readPool(YamlMap map) {
        PoolSpec pool =
                new PoolSpec(
                        map.name("name"),
                        map.integer("quick reserve", 0, MAX_COUNT, 0),
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

    private static HostSpec readHost(YamlMap map) {
        HostSpec host =
                new HostSpec(
                        map.name("name"),
                        map.address("address"),
                        map.name("zone"),
                        map.text("rack", ""),
                        map.name("pool"),
                        map.integer("slots", 1, MAX_SLOTS, 8),
                        new Capacity(
                                map.integer("cores", 0, MAX_COUNT, 0),
                                map.integer("memory gb", 0, MAX_COUNT, 0),
                                map.integer("accelerators", 0, MAX_COUNT, 0)));
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

    private static TeamSpec readTeam(YamlMap map) {
        TeamSpec team =
                new TeamSpec(
                        map.name("name"),
                        map.integer("share", 1, MAX_SHARE),
                        map.integer("upper limit", 0, MAX_COUNT));
        map.reportUnknownKeys("name", "share", "upper limit");
        return team;
    }

    private static KeySpec readKey(YamlMap map) {
        String id = map.name("name");
        String team = map.name("team");
        String digestHex = map.text("digest");
        // A placeholder, unless the text is a digest.
        KeyDigest digest = KeyDigest.ofSecret("");
        try {
            digest = KeyDigest.ofHex(digestHex);
        } catch (IllegalArgumentException e) {
            map.addFinding(
                    "expected a digest of 64 hexadecimal digits; \"hibiscususher key\" makes one");
        }
        map.reportUnknownKeys("name", "team", "digest");
        return new KeySpec(id, team, digest);
    }

    private static QueueSpec readQueue(YamlMap map) {
        QueueSpec queue =
                new QueueSpec(
                        map.name("name"),
                        map.name("pool"),
                        map.choice("kind", QueueKind.class, QueueKind.QUICK),
                        map.has("open to all as team")
                                ? Optional.of(map.name("open to all as team"))
                                : Optional.empty(),
                        map.integer("waiting at most", 1, MAX_COUNT, DEFAULT_MAX_WAITING),
                        map.integer("wait limit ms", 1, MAX_LIMIT_MS, DEFAULT_WAIT_LIMIT_MS),
                        map.integer("run limit ms", 1, MAX_LIMIT_MS, DEFAULT_RUN_LIMIT_MS));
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
