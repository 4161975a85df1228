package org.hibiscususher.wire.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.RecordKind;
import org.hibiscususher.core.message.StoreRecord;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.message.StoreRecord.HistoryRecord;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;
import org.hibiscususher.core.message.StoreRecord.NoteRecord;
import org.hibiscususher.core.message.StoreRecord.SnapshotRecord;
import org.hibiscususher.core.note.AcceptedNote;

/**
 * Encodes the records of configuration, membership and hosts in the platform's store as JSON and
 * decodes them, and maps their keys. Thread-safe.
 *
 * <p>A build must read what earlier builds stored. A missing field reads as empty text, 0 or false;
 * a missing or unknown enum constant is an error. The scheduler's records have {@link
 * org.hibiscususher.wire.scheduler.SchedulerRecordCodec}.
 */
public final class RecordCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String KEY_PREFIX = "hibiscususher/";

    private RecordCodec() {}

    /** Returns the key under which a record is in the platform's store. */
    public static String storeKey(RecordKey key) {
        String path = KEY_PREFIX + key.kind().path();
        return key.name().isEmpty() ? path : path + "/" + key.name();
    }

    /** Returns the prefix of the store keys of all records about hosts, and of no others. */
    public static String fleetPrefix() {
        return KEY_PREFIX + RecordKind.FLEET_PREFIX;
    }

    /**
     * Returns the record that a key in the platform's store identifies; empty for the key of
     * another system or a kind of record that this build doesn't know.
     */
    public static Optional<RecordKey> parseStoreKey(String key) {
        for (RecordKind kind : RecordKind.values()) {
            String path = KEY_PREFIX + kind.path();
            if (key.equals(path)) {
                return Optional.of(new RecordKey(kind, ""));
            }
            if (key.startsWith(path + "/")) {
                return Optional.of(new RecordKey(kind, key.substring(path.length() + 1)));
            }
        }
        return Optional.empty();
    }

    /** Returns a record as JSON; snapshots and history, which may be large, in the gzip format. */
    public static byte[] encode(StoreRecord record) {
        if (record instanceof HeadRecord head) {
            return bytes(HistoryJson.writeHead(head));
        }
        if (record instanceof MembershipRecord membership) {
            return bytes(writeMembership(membership));
        }
        if (record instanceof SnapshotRecord snapshot) {
            return Gzip.compress(bytes(ConfigurationJson.write(snapshot.configuration())));
        }
        if (record instanceof HistoryRecord history) {
            return Gzip.compress(bytes(HistoryJson.writeHistory(history)));
        }
        if (record instanceof NoteRecord note) {
            return bytes(HistoryJson.writeNoteRecord(note));
        }
        if (FleetJson.covers(record)) {
            return bytes(FleetJson.write(record));
        }
        throw new IllegalArgumentException("no encoding for " + record.getClass());
    }

    /**
     * Returns the record that stored bytes encode.
     *
     * @param key key under which the bytes were stored, which determines their format
     * @throws IOException if the bytes are malformed or hold an unknown enum constant
     */
    public static StoreRecord decode(RecordKey key, byte[] bytes) throws IOException {
        try {
            return switch (key.kind()) {
                case HEAD -> HistoryJson.readHead(MAPPER.readTree(bytes));
                case MEMBERSHIP -> readMembership(MAPPER.readTree(bytes));
                case SNAPSHOT ->
                        new SnapshotRecord(
                                ConfigurationJson.read(MAPPER.readTree(Gzip.expand(bytes))));
                case HISTORY -> HistoryJson.readHistory(MAPPER.readTree(Gzip.expand(bytes)));
                case NOTE -> HistoryJson.readNoteRecord(MAPPER.readTree(bytes));
                case HOST, OUTAGES, WAVE -> FleetJson.read(key, MAPPER.readTree(bytes));
            };
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed record " + storeKey(key), e);
        }
    }

    /** Returns accepted notes as JSON, in the given order. */
    public static byte[] encodeNotes(List<AcceptedNote> notes) {
        return bytes(HistoryJson.writeNotes(notes));
    }

    /**
     * Returns the accepted notes that JSON bytes encode.
     *
     * @throws IOException if the bytes are malformed
     */
    public static List<AcceptedNote> decodeNotes(byte[] bytes) throws IOException {
        try {
            return HistoryJson.readNotes(MAPPER.readTree(bytes));
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed list of release notes", e);
        }
    }

    private static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree in memory can always be written", e);
        }
    }

    private static ObjectNode writeMembership(MembershipRecord membership) {
        ObjectNode root = object();
        root.put("epoch", membership.epoch());
        ArrayNode members = root.putArray("members");
        for (Member member : membership.members()) {
            members.addObject()
                    .put("id", member.id())
                    .put("incarnation", member.incarnation())
                    .put("address", member.address())
                    .put("zone", member.zone())
                    .put("state", member.state().name());
        }
        return root;
    }

    private static MembershipRecord readMembership(JsonNode root) {
        List<Member> members = new ArrayList<>();
        for (JsonNode n : root.path("members")) {
            members.add(
                    new Member(
                            n.path("id").asText(),
                            n.path("incarnation").asLong(),
                            n.path("address").asText(),
                            n.path("zone").asText(),
                            MemberState.valueOf(n.path("state").asText())));
        }
        return new MembershipRecord(root.path("epoch").asLong(), members);
    }
}
