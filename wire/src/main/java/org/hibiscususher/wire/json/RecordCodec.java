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
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;

/** Translates records of the platform's store to JSON bytes and back. Thread-safe. */
public final class RecordCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PREFIX = "hibiscususher/";

    private RecordCodec() {}

    /** Returns the key in the platform's store. */
    public static String keyOf(RecordKey key) {
        String kind = key.kind().name().toLowerCase(java.util.Locale.ROOT);
        return key.name().isEmpty() ? PREFIX + kind : PREFIX + kind + "/" + key.name();
    }

    /** Returns the record as JSON. */
    public static byte[] encode(StoreRecord record) {
        if (record instanceof HeadRecord head) {
            return bytes(
                    object().put("note", head.noteId())
                            .put("author", head.author())
                            .put("summary", head.summary())
                            .set("configuration", ConfigurationJson.write(head.configuration())));
        }
        if (record instanceof MembershipRecord membership) {
            return bytes(writeMembership(membership));
        }
        throw new IllegalArgumentException("no encoding for " + record.getClass());
    }

    /**
     * Returns the record of the given kind that the bytes stand for.
     *
     * @throws IOException if they stand for none
     */
    public static StoreRecord decode(RecordKey key, byte[] bytes) throws IOException {
        JsonNode node = MAPPER.readTree(bytes);
        try {
            return switch (key.kind()) {
                case HEAD ->
                        new HeadRecord(
                                node.path("note").asText(),
                                node.path("author").asText(),
                                node.path("summary").asText(),
                                ConfigurationJson.read(node.path("configuration")));
                case MEMBERSHIP -> readMembership(node);
            };
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed record " + keyOf(key), e);
        }
    }

    /** Returns a configuration as JSON. */
    public static byte[] encodeConfiguration(Configuration configuration) {
        return bytes(ConfigurationJson.write(configuration));
    }

    /**
     * Returns the configuration that the bytes stand for.
     *
     * @throws IOException if they stand for none
     */
    public static Configuration decodeConfiguration(byte[] bytes) throws IOException {
        try {
            return ConfigurationJson.read(MAPPER.readTree(bytes));
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed configuration", e);
        }
    }

    private static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of values can always be written", e);
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
