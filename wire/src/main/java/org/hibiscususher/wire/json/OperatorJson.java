package org.hibiscususher.wire.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.message.Output.AnswerNote;
import org.hibiscususher.core.message.StatusReport;
import org.hibiscususher.core.note.Finding;
import org.hibiscususher.core.note.Place;
import org.hibiscususher.core.note.Severity;

/** Translates answers to operators to JSON and back. Thread-safe. */
public final class OperatorJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private OperatorJson() {}

    /** Returns the answer to a release note as JSON. */
    public static byte[] encodeNoteAnswer(AnswerNote answer) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("result", answer.result().name())
                .put("revision", answer.revision())
                .put("detail", answer.detail());
        ArrayNode findings = root.putArray("findings");
        for (Finding finding : answer.findings()) {
            findings.addObject()
                    .put("file", finding.place().file())
                    .put("line", finding.place().line())
                    .put("column", finding.place().column())
                    .put("severity", finding.severity().name())
                    .put("message", finding.message());
        }
        return bytes(root);
    }

    /**
     * Returns the answer to a release note that the bytes stand for; its call id is 0.
     *
     * @throws IOException if they stand for none
     */
    public static AnswerNote decodeNoteAnswer(byte[] bytes) throws IOException {
        JsonNode root = MAPPER.readTree(bytes);
        List<Finding> findings = new ArrayList<>();
        try {
            for (JsonNode n : root.path("findings")) {
                Place place =
                        new Place(
                                n.path("file").asText(),
                                n.path("line").asInt(),
                                n.path("column").asInt());
                findings.add(
                        new Finding(
                                place,
                                Severity.valueOf(n.path("severity").asText()),
                                n.path("message").asText()));
            }
            return new AnswerNote(
                    0,
                    NoteResult.valueOf(root.path("result").asText()),
                    root.path("revision").asLong(),
                    root.path("detail").asText(),
                    findings);
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed answer to a release note", e);
        }
    }

    /** Returns an entry's status as JSON. */
    public static byte[] encodeStatus(StatusReport report) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("member", report.member())
                .put("stage", report.stage())
                .put("epoch", report.epoch())
                .put("revision", report.revision())
                .put("storeAgeMs", report.storeAgeMs())
                .put("waiting", report.waiting())
                .put("running", report.running());
        ArrayNode peers = root.putArray("peers");
        for (StatusReport.Peer peer : report.peers()) {
            peers.addObject()
                    .put("member", peer.member())
                    .put("state", peer.state().name())
                    .put("zone", peer.zone())
                    .put("revision", peer.revision())
                    .put("silentMs", peer.silentMs());
        }
        return bytes(root);
    }

    /**
     * Returns the status that the bytes stand for.
     *
     * @throws IOException if they stand for none
     */
    public static StatusReport decodeStatus(byte[] bytes) throws IOException {
        JsonNode root = MAPPER.readTree(bytes);
        List<StatusReport.Peer> peers = new ArrayList<>();
        try {
            for (JsonNode n : root.path("peers")) {
                peers.add(
                        new StatusReport.Peer(
                                n.path("member").asText(),
                                MemberState.valueOf(n.path("state").asText()),
                                n.path("zone").asText(),
                                n.path("revision").asLong(),
                                n.path("silentMs").asLong()));
            }
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed status", e);
        }
        return new StatusReport(
                root.path("member").asText(),
                root.path("stage").asText(),
                root.path("epoch").asLong(),
                root.path("revision").asLong(),
                root.path("storeAgeMs").asLong(),
                root.path("waiting").asInt(),
                root.path("running").asInt(),
                peers);
    }

    private static byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }
}
