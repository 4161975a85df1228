package org.hibiscususher.wire.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hibiscususher.core.message.Outage;
import org.hibiscususher.core.message.OutageReason;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord;
import org.hibiscususher.core.message.StoreRecord.HostRecord;
import org.hibiscususher.core.message.StoreRecord.OutageRecord;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;
import org.hibiscususher.core.message.WaveState;

/** Converts records about hosts to JSON and back. */
final class FleetJson {
    private FleetJson() {}

    /** Returns whether a record is about hosts, so that {@link #write} accepts it. */
    static boolean covers(StoreRecord record) {
        return record instanceof HostRecord
                || record instanceof OutageRecord
                || record instanceof WaveRecord;
    }

    /** Returns a record about hosts as JSON, without the host or pool that its key contains. */
    static ObjectNode write(StoreRecord record) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        if (record instanceof HostRecord host) {
            return root.put("pool", host.pool())
                    .put("declared", host.declaredPool())
                    .put("generation", host.generation());
        }
        if (record instanceof OutageRecord outages) {
            root.put("wave", outages.wave());
            writeNames(root.putArray("done"), outages.rebooted());
            ObjectNode out = root.putObject("outages");
            outages.outages().forEach((host, outage) -> out.set(host, writeOutage(outage)));
            return root;
        }
        WaveRecord wave = (WaveRecord) record;
        root.put("id", wave.id()).put("state", wave.state().name()).put("detail", wave.detail());
        writeNames(root.putArray("hosts"), wave.hosts());
        return root;
    }

    /**
     * Returns a record about hosts from JSON.
     *
     * @param key key of the record, which holds its kind and the host or pool
     * @param root the stored value
     * @throws IllegalArgumentException if the key's kind isn't about hosts, or an enum constant is
     *     unknown
     */
    static StoreRecord read(RecordKey key, JsonNode root) {
        return switch (key.kind()) {
            case HOST ->
                    new HostRecord(
                            key.name(),
                            root.path("pool").asText(),
                            root.path("declared").asText(),
                            root.path("generation").asLong());
            case OUTAGES -> readOutages(key.name(), root);
            case WAVE ->
                    new WaveRecord(
                            root.path("id").asText(),
                            WaveState.valueOf(root.path("state").asText()),
                            root.path("detail").asText(),
                            readNames(root.path("hosts")));
            default -> throw new IllegalArgumentException("not a record about hosts: " + key);
        };
    }

    private static OutageRecord readOutages(String pool, JsonNode root) {
        SortedMap<String, Outage> outages = new TreeMap<>();
        root.path("outages")
                .properties()
                .forEach(e -> outages.put(e.getKey(), readOutage(e.getValue())));
        return new OutageRecord(
                pool, root.path("wave").asText(), readNames(root.path("done")), outages);
    }

    private static ObjectNode writeOutage(Outage outage) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("reason", outage.reason().name())
                .put("idle", outage.idle())
                .put("generation", outage.generation())
                .put("target", outage.target())
                .put("bootId", outage.bootId());
    }

    private static Outage readOutage(JsonNode node) {
        return new Outage(
                OutageReason.valueOf(node.path("reason").asText()),
                node.path("idle").asBoolean(),
                node.path("generation").asLong(),
                node.path("target").asText(),
                node.path("bootId").asText());
    }

    private static void writeNames(ArrayNode array, SortedSet<String> names) {
        names.forEach(array::add);
    }

    private static SortedSet<String> readNames(JsonNode array) {
        SortedSet<String> names = new TreeSet<>();
        array.forEach(n -> names.add(n.asText()));
        return names;
    }
}
