package org.hibiscususher.standin.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import org.hibiscususher.core.config.AvailabilityBudget;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.ConfigurationDelta;
import org.hibiscususher.core.config.Edits;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.message.StoreRecord.SnapshotRecord;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.wire.json.RecordCodec;
import org.hibiscususher.wire.peer.PeerCodec;

/**
 * Prints the encoded sizes of the configuration's records for a site of the largest size aimed at,
 * and the bytes that an entry receives for them.
 */
final class ConfigurationSizes {
    private static final int HOSTS = 3_800;
    private static final int POOLS = 244;
    private static final int TEAMS = 300;
    private static final int KEYS = 600;

    /** Notes in the head record at most. */
    private static final int HEAD_NOTES = 32;

    private static final double NOTES_PER_S = 3_300 / 86_400.0;

    /** Growth of a record's value in the watch events of the store, which are in Base64. */
    private static final double BASE64_FACTOR = 4 / 3.0;

    private ConfigurationSizes() {}

    /** Prints one line per size. */
    static void print(PrintStream out) {
        Configuration target = targetConfiguration();
        AcceptedNote whole = note(1, ConfigurationDelta.between(Configuration.EMPTY, target));
        int wholeBytes = bytes(new HeadRecord(1, 0, "", "", List.of(whole)));
        int snapshotBytes = RecordCodec.encode(new SnapshotRecord(target)).length;
        List<AcceptedNote> notes = new ArrayList<>();
        long allHeadBytes = 0;
        for (int i = 1; i <= HEAD_NOTES; i++) {
            notes.add(note(i, addKey(i)));
            allHeadBytes += bytes(new HeadRecord(i, 0, "1-0123456789", "1", notes));
        }
        double headBytes = allHeadBytes / (double) HEAD_NOTES;
        int relayBytes = relayBytes(notes.subList(0, 1));
        out.printf(
                Locale.ROOT,
                "target size: hosts=%d pools=%d teams=%d keys=%d%n",
                HOSTS,
                POOLS,
                TEAMS,
                KEYS);
        out.printf(Locale.ROOT, "whole configuration, bytes: %d%n", wholeBytes);
        out.printf(Locale.ROOT, "snapshot, compressed, bytes: %d%n", snapshotBytes);
        out.printf(Locale.ROOT, "head of 1 to 32 notes of one key, mean bytes: %.0f%n", headBytes);
        out.printf(Locale.ROOT, "relay of one note, bytes: %d%n", relayBytes);
        double headBytesPerNote = headBytes * BASE64_FACTOR;
        out.printf(
                Locale.ROOT,
                "received by an entry per note by watch: whole %.0f, head %.0f bytes%n",
                wholeBytes * BASE64_FACTOR,
                headBytesPerNote);
        out.printf(
                Locale.ROOT,
                "by watch and one relay, at 3300 notes a day: whole %.0f, head %.1f bytes/s%n",
                (wholeBytes * BASE64_FACTOR + wholeBytes) * NOTES_PER_S,
                (headBytesPerNote + relayBytes) * NOTES_PER_S);
    }

    private static int bytes(HeadRecord head) {
        return RecordCodec.encode(head).length;
    }

    private static int relayBytes(List<AcceptedNote> notes) {
        List<PeerItem> items = List.of(new PeerItem.NoteRelay(notes));
        return PeerCodec.encode(new PeerMessage("e1", 1, 1, 1, 1, 1, 1, 1, 1, 1, items)).length;
    }

    private static AcceptedNote note(long revision, ConfigurationDelta delta) {
        return new AcceptedNote(
                revision,
                "note-2026-03-14-" + revision,
                "volunteer",
                "a key for the new technician",
                1_700_000_000_000L,
                "0123456789abcdef01234567",
                delta.summary(),
                delta,
                true);
    }

    private static ConfigurationDelta addKey(int number) {
        return new ConfigurationDelta(
                Edits.none(),
                Edits.none(),
                Edits.none(),
                new Edits<>(List.of(key(number)), List.of()),
                Edits.none());
    }

    private static KeySpec key(int number) {
        return new KeySpec(
                "key-" + number, "team-" + number % TEAMS, KeyDigest.ofSecret("s" + number));
    }

    private static Configuration targetConfiguration() {
        var pools = new TreeMap<String, PoolSpec>();
        var hosts = new TreeMap<String, HostSpec>();
        var teams = new TreeMap<String, TeamSpec>();
        var keys = new TreeMap<String, KeySpec>();
        var queues = new TreeMap<String, QueueSpec>();
        for (int i = 0; i < POOLS; i++) {
            PoolSpec pool = new PoolSpec("pool-" + i, 0, new AvailabilityBudget(2, 1), false);
            pools.put(pool.id(), pool);
            QueueSpec queue =
                    new QueueSpec(
                            "queue-" + i,
                            pool.id(),
                            QueueKind.QUICK,
                            java.util.Optional.empty(),
                            1_000,
                            2_500,
                            30_000);
            queues.put(queue.id(), queue);
        }
        for (int i = 0; i < HOSTS; i++) {
            HostSpec host = host(i);
            hosts.put(host.id(), host);
        }
        for (int i = 0; i < TEAMS; i++) {
            teams.put("team-" + i, new TeamSpec("team-" + i, 1, 100));
        }
        for (int i = 0; i < KEYS; i++) {
            keys.put("key-" + i, key(i));
        }
        return new Configuration(1, pools, hosts, teams, keys, queues);
    }

    private static HostSpec host(int number) {
        return new HostSpec(
                "host-" + number,
                "10.0." + number / 250 + "." + number % 250 + ":8080",
                "zone-" + number % 16,
                "rack-" + number / 4,
                "pool-" + number % POOLS,
                8,
                new Capacity(64, 128, number < 1_025 ? 4 : 0));
    }
}
