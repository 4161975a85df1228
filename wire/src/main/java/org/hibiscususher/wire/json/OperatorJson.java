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
import org.hibiscususher.core.message.Output.ReplyToHistory;
import org.hibiscususher.core.message.Output.ReplyToNote;
import org.hibiscususher.core.message.Output.ReplyToNoteCheck;
import org.hibiscususher.core.message.StatusReport;
import org.hibiscususher.core.message.WaveReport;
import org.hibiscususher.core.note.Finding;
import org.hibiscususher.core.note.Severity;
import org.hibiscususher.core.note.SourceLocation;

/**
 * Converts replies to operators to JSON and back: the daemon writes them and the command line tool
 * reads them. Thread-safe.
 *
 * <p>The id of the operator's call is not written. It has a meaning within the daemon alone and
 * reads as 0.
 */
public final class OperatorJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private OperatorJson() {}

    /** Returns the reply to a release note as JSON. */
    public static byte[] encodeNoteAnswer(ReplyToNote reply) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("result", reply.result().name())
                .put("revision", reply.revision())
                .put("detail", reply.detail());
        writeFindings(root, reply.findings());
        return bytes(root);
    }

    /**
     * Returns the reply to a release note that JSON bytes encode.
     *
     * @throws IOException if the bytes are malformed or hold an unknown result
     */
    public static ReplyToNote decodeNoteAnswer(byte[] bytes) throws IOException {
        JsonNode root = MAPPER.readTree(bytes);
        try {
            return new ReplyToNote(
                    0,
                    NoteResult.valueOf(root.path("result").asText()),
                    root.path("revision").asLong(),
                    root.path("detail").asText(),
                    readFindings(root));
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed reply to a release note", e);
        }
    }

    /** Returns the reply to the check of a release note as JSON. */
    public static byte[] encodeNoteCheck(ReplyToNoteCheck reply) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("revision", reply.revision());
        writeFindings(root, reply.findings());
        return bytes(root);
    }

    /**
     * Returns the reply to the check of a release note that JSON bytes encode.
     *
     * @throws IOException if the bytes are malformed
     */
    public static ReplyToNoteCheck decodeNoteCheck(byte[] bytes) throws IOException {
        JsonNode root = MAPPER.readTree(bytes);
        try {
            return new ReplyToNoteCheck(0, root.path("revision").asLong(), readFindings(root));
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed reply to the check of a release note", e);
        }
    }

    /** Returns the accepted release notes that an operator asked for as JSON. */
    public static byte[] encodeHistory(ReplyToHistory reply) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("detail", reply.detail());
        root.set("notes", HistoryJson.writeNotes(reply.notes()));
        return bytes(root);
    }

    /**
     * Returns the accepted release notes that JSON bytes encode.
     *
     * @throws IOException if the bytes are malformed
     */
    public static ReplyToHistory decodeHistory(byte[] bytes) throws IOException {
        JsonNode root = MAPPER.readTree(bytes);
        try {
            return new ReplyToHistory(
                    0, HistoryJson.readNotes(root.path("notes")), root.path("detail").asText());
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed list of release notes", e);
        }
    }

    private static void writeFindings(ObjectNode root, List<Finding> findings) {
        ArrayNode array = root.putArray("findings");
        for (Finding finding : findings) {
            array.addObject()
                    .put("file", finding.location().file())
                    .put("line", finding.location().line())
                    .put("column", finding.location().column())
                    .put("severity", finding.severity().name())
                    .put("message", finding.message());
        }
    }

    private static List<Finding> readFindings(JsonNode root) {
        List<Finding> findings = new ArrayList<>();
        for (JsonNode n : root.path("findings")) {
            SourceLocation location =
                    new SourceLocation(
                            n.path("file").asText(),
                            n.path("line").asInt(),
                            n.path("column").asInt());
            Severity severity = Severity.valueOf(n.path("severity").asText());
            findings.add(new Finding(location, severity, n.path("message").asText()));
        }
        return findings;
    }

    /** Returns an entry's status as JSON. */
    public static byte[] encodeStatus(StatusReport report) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("member", report.member())
                .put("stage", report.stage())
                .put("epoch", report.epoch())
                .put("revision", report.revision())
                .put("newestRevision", report.newestRevision())
                .put("storeAgeMs", report.storeAgeMs())
                .put("freshAgeMs", report.freshAgeMs())
                .put("takesWork", report.takesWork())
                .put("waiting", report.waiting())
                .put("running", report.running());
        ArrayNode peers = root.putArray("peers");
        for (StatusReport.Peer peer : report.peers()) {
            peers.addObject()
                    .put("member", peer.member())
                    .put("state", peer.state().name())
                    .put("zone", peer.zone())
                    .put("revision", peer.revision())
                    .put("silentMs", peer.silentMs())
                    .put("storeAgeMs", peer.storeAgeMs());
        }
        return bytes(root);
    }

    /**
     * Returns the status that JSON bytes encode.
     *
     * @throws IOException if the bytes are malformed or hold an unknown member state
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
                                n.path("silentMs").asLong(),
                                n.path("storeAgeMs").asLong()));
            }
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed status of an entry", e);
        }
        return new StatusReport(
                root.path("member").asText(),
                root.path("stage").asText(),
                root.path("epoch").asLong(),
                root.path("revision").asLong(),
                root.path("newestRevision").asLong(),
                root.path("storeAgeMs").asLong(),
                root.path("freshAgeMs").asLong(),
                root.path("takesWork").asBoolean(),
                root.path("waiting").asInt(),
                root.path("running").asInt(),
                peers);
    }

    /** Returns the status of the maintenance wave as JSON. */
    public static byte[] encodeWave(WaveReport report) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("ok", report.ok())
                .put("id", report.id())
                .put("state", report.state())
                .put("detail", report.detail())
                .put("total", report.total())
                .put("done", report.done());
        ArrayNode out = root.putArray("out");
        for (WaveReport.OutOfServiceHost host : report.out()) {
            out.addObject()
                    .put("host", host.host())
                    .put("pool", host.pool())
                    .put("doing", host.activity())
                    .put("sinceMs", host.sinceMs());
        }
        return bytes(root);
    }

    /**
     * Returns the status of the maintenance wave that JSON bytes encode.
     *
     * @throws IOException if the bytes are malformed or lack the field {@code ok}
     */
    public static WaveReport decodeWave(byte[] bytes) throws IOException {
        JsonNode root = MAPPER.readTree(bytes);
        if (!root.path("ok").isBoolean()) {
            throw new IOException("malformed status of a maintenance wave");
        }
        List<WaveReport.OutOfServiceHost> out = new ArrayList<>();
        for (JsonNode n : root.path("out")) {
            out.add(
                    new WaveReport.OutOfServiceHost(
                            n.path("host").asText(),
                            n.path("pool").asText(),
                            n.path("doing").asText(),
                            n.path("sinceMs").asLong()));
        }
        return new WaveReport(
                root.path("ok").asBoolean(),
                root.path("id").asText(),
                root.path("state").asText(),
                root.path("detail").asText(),
                root.path("total").asInt(),
                root.path("done").asInt(),
                out);
    }

    private static byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }
}
