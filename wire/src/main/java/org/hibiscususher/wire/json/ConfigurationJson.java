package org.hibiscususher.wire.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
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

/**
 * Converts a configuration, or the change from one revision to the next, to JSON and back.
 *
 * <p>The declarations of a type are an object with a field for each, named by its id. A change has
 * them under {@code put}, and the removed ids under {@code removed}; types without a change are
 * absent.
 */
final class ConfigurationJson {
    private ConfigurationJson() {}

    static ObjectNode write(Configuration configuration) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("revision", configuration.revision());
        writeAll(root, "pools", configuration.pools().values(), ConfigurationJson::writePool);
        writeAll(root, "hosts", configuration.hosts().values(), ConfigurationJson::writeHost);
        writeAll(root, "teams", configuration.teams().values(), ConfigurationJson::writeTeam);
        writeAll(root, "keys", configuration.keys().values(), ConfigurationJson::writeKey);
        writeAll(root, "queues", configuration.queues().values(), ConfigurationJson::writeQueue);
        return root;
    }

    static Configuration read(JsonNode root) {
        return new Configuration(
                root.path("revision").asLong(),
                readAll(root.path("pools"), ConfigurationJson::readPool),
                readAll(root.path("hosts"), ConfigurationJson::readHost),
                readAll(root.path("teams"), ConfigurationJson::readTeam),
                readAll(root.path("keys"), ConfigurationJson::readKey),
                readAll(root.path("queues"), ConfigurationJson::readQueue));
    }

    static ObjectNode writeDelta(ConfigurationDelta delta) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        writeEdits(root, "pools", delta.pools(), ConfigurationJson::writePool);
        writeEdits(root, "hosts", delta.hosts(), ConfigurationJson::writeHost);
        writeEdits(root, "teams", delta.teams(), ConfigurationJson::writeTeam);
        writeEdits(root, "keys", delta.keys(), ConfigurationJson::writeKey);
        writeEdits(root, "queues", delta.queues(), ConfigurationJson::writeQueue);
        return root;
    }

    static ConfigurationDelta readDelta(JsonNode root) {
        return new ConfigurationDelta(
                readEdits(root.path("pools"), ConfigurationJson::readPool),
                readEdits(root.path("hosts"), ConfigurationJson::readHost),
                readEdits(root.path("teams"), ConfigurationJson::readTeam),
                readEdits(root.path("keys"), ConfigurationJson::readKey),
                readEdits(root.path("queues"), ConfigurationJson::readQueue));
    }

    private static <T> void writeAll(
            ObjectNode root, String type, Collection<T> items, BiConsumer<ObjectNode, T> writer) {
        ObjectNode map = root.putObject(type);
        for (T item : items) {
            writer.accept(map, item);
        }
    }

    private static <T> void writeEdits(
            ObjectNode root, String type, Edits<T> edits, BiConsumer<ObjectNode, T> writer) {
        if (edits.isEmpty()) {
            return;
        }
        ObjectNode node = root.putObject(type);
        writeAll(node, "put", edits.put(), writer);
        edits.removed().forEach(node.withArray("removed")::add);
    }

    private static <T> Edits<T> readEdits(JsonNode node, BiFunction<String, JsonNode, T> reader) {
        List<String> removed = new ArrayList<>();
        node.path("removed").forEach(n -> removed.add(n.asText()));
        return new Edits<>(List.copyOf(readAll(node.path("put"), reader).values()), removed);
    }

    private static <T> SortedMap<String, T> readAll(
            JsonNode map, BiFunction<String, JsonNode, T> reader) {
        SortedMap<String, T> items = new TreeMap<>();
        map.properties()
                .forEach(e -> items.put(e.getKey(), reader.apply(e.getKey(), e.getValue())));
        return items;
    }

    private static void writePool(ObjectNode map, PoolSpec pool) {
        map.putObject(pool.id())
                .put("quickReserve", pool.quickReserve())
                .put("maxOut", pool.budget().maxUnavailable())
                .put("maxOutPerZone", pool.budget().maxUnavailablePerZone())
                .put("spare", pool.spare());
    }

    private static PoolSpec readPool(String id, JsonNode node) {
        return new PoolSpec(
                id,
                node.path("quickReserve").asInt(),
                new AvailabilityBudget(
                        node.path("maxOut").asInt(), node.path("maxOutPerZone").asInt()),
                node.path("spare").asBoolean());
    }

    private static void writeHost(ObjectNode map, HostSpec host) {
        map.putObject(host.id())
                .put("address", host.address())
                .put("zone", host.zone())
                .put("rack", host.rack())
                .put("pool", host.pool())
                .put("slots", host.slots())
                .put("cores", host.capacity().cores())
                .put("memoryGb", host.capacity().memoryGb())
                .put("accelerators", host.capacity().accelerators());
    }

    private static HostSpec readHost(String id, JsonNode node) {
        return new HostSpec(
                id,
                node.path("address").asText(),
                node.path("zone").asText(),
                node.path("rack").asText(),
                node.path("pool").asText(),
                node.path("slots").asInt(),
                new Capacity(
                        node.path("cores").asInt(),
                        node.path("memoryGb").asInt(),
                        node.path("accelerators").asInt()));
    }

    private static void writeTeam(ObjectNode map, TeamSpec team) {
        map.putObject(team.id()).put("share", team.share()).put("limit", team.upperLimit());
    }

    private static TeamSpec readTeam(String id, JsonNode node) {
        return new TeamSpec(id, node.path("share").asInt(), node.path("limit").asInt());
    }

    private static void writeKey(ObjectNode map, KeySpec key) {
        map.putObject(key.id()).put("team", key.team()).put("digest", key.digest().toHex());
    }

    private static KeySpec readKey(String id, JsonNode node) {
        KeyDigest digest = KeyDigest.ofHex(node.path("digest").asText());
        return new KeySpec(id, node.path("team").asText(), digest);
    }

    private static void writeQueue(ObjectNode map, QueueSpec queue) {
        ObjectNode node = map.putObject(queue.id());
        node.put("pool", queue.pool())
                .put("kind", queue.kind().name())
                .put("maxWaiting", queue.maxWaiting())
                .put("waitLimitMs", queue.waitLimitMs())
                .put("runLimitMs", queue.runLimitMs());
        queue.openTeam().ifPresent(t -> node.put("openTeam", t));
    }

    private static QueueSpec readQueue(String id, JsonNode node) {
        return new QueueSpec(
                id,
                node.path("pool").asText(),
                QueueKind.valueOf(node.path("kind").asText()),
                node.has("openTeam")
                        ? Optional.of(node.path("openTeam").asText())
                        : Optional.empty(),
                node.path("maxWaiting").asInt(),
                node.path("waitLimitMs").asInt(),
                node.path("runLimitMs").asInt());
    }
}
