package org.hibiscususher.wire.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.config.ConfigurationDelta;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.message.StoreRecord.HistoryRecord;
import org.hibiscususher.core.message.StoreRecord.NoteRecord;
import org.hibiscususher.core.note.AcceptedNote;

/**
 * Converts the records of the configuration's history to JSON and back: the head, older notes, and
 * the index of notes by id. A note whose delta is not kept with it has no field {@code delta}.
 */
final class HistoryJson {
    private HistoryJson() {}

    static ObjectNode writeHead(HeadRecord head) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("revision", head.revision())
                .put("snapshotRevision", head.snapshotRevision())
                .put("snapshot", head.snapshot())
                .put("history", head.history());
        root.set("notes", writeNotes(head.notes()));
        return root;
    }

    static HeadRecord readHead(JsonNode root) {
        return new HeadRecord(
                root.path("revision").asLong(),
                root.path("snapshotRevision").asLong(),
                root.path("snapshot").asText(),
                root.path("history").asText(),
                readNotes(root.path("notes")));
    }

    static ObjectNode writeHistory(HistoryRecord history) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("previous", history.previous());
        root.set("notes", writeNotes(history.notes()));
        return root;
    }

    static HistoryRecord readHistory(JsonNode root) {
        return new HistoryRecord(root.path("previous").asText(), readNotes(root.path("notes")));
    }

    static ObjectNode writeNoteRecord(NoteRecord note) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("revision", note.revision())
                .put("digest", note.digest())
                .put("history", note.history());
    }

    static NoteRecord readNoteRecord(JsonNode root) {
        return new NoteRecord(
                root.path("revision").asLong(),
                root.path("digest").asText(),
                root.path("history").asText());
    }

    static ArrayNode writeNotes(List<AcceptedNote> notes) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        for (AcceptedNote note : notes) {
            ObjectNode node = array.addObject();
            node.put("revision", note.revision())
                    .put("note", note.id())
                    .put("author", note.author())
                    .put("summary", note.summary())
                    .put("writtenMs", note.writtenMs())
                    .put("digest", note.digest())
                    .put("changes", note.changeSummary());
            if (note.hasDelta()) {
                node.set("delta", ConfigurationJson.writeDelta(note.delta()));
            }
        }
        return array;
    }

    static List<AcceptedNote> readNotes(JsonNode array) {
        List<AcceptedNote> notes = new ArrayList<>();
        for (JsonNode node : array) {
            boolean hasDelta = node.has("delta");
            notes.add(
                    new AcceptedNote(
                            node.path("revision").asLong(),
                            node.path("note").asText(),
                            node.path("author").asText(),
                            node.path("summary").asText(),
                            node.path("writtenMs").asLong(),
                            node.path("digest").asText(),
                            node.path("changes").asText(),
                            hasDelta
                                    ? ConfigurationJson.readDelta(node.path("delta"))
                                    : ConfigurationDelta.NONE,
                            hasDelta));
        }
        return notes;
    }
}
