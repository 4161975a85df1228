package org.hibiscususher.wire.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.hibiscususher.core.config.AvailabilityBudget;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.config.TeamSpec;

/** Translates a configuration to JSON and back. */
final class ConfigurationJson {
    private ConfigurationJson() {}

    static ObjectNode write(Configuration configuration) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("revision", configuration.revision());
        ObjectNode pools = root.putObject("pools");
        configuration.pools().values().forEach(p -> writePool(pools.putObject(p.id()), p));
        ObjectNode hosts = root.putObject("hosts");
        configuration.hosts().values().forEach(h -> writeHost(hosts.putObject(h.id()), h));
        ObjectNode teams = root.putObject("teams");
        for (TeamSpec team : configuration.teams().values()) {
            teams.putObject(team.id()).put("share", team.share()).put("limit", team.upperLimit());
        }
        ObjectNode keys = root.putObject("keys");
        for (KeySpec key : configuration.keys().values()) {
            keys.putObject(key.id()).put("team", key.team()).put("digest", key.digest().toHex());
        }
        ObjectNode queues = root.putObject("queues");
        configuration.queues().values().forEach(q -> writeQueue(queues.putObject(q.id()), q));
        return root;
    }

    static Configuration read(JsonNode root) {
        return new Configuration(
                root.path("revision").asLong(),
                each(root.path("pools"), ConfigurationJson::readPool),
                each(root.path("hosts"), ConfigurationJson::readHost),
                each(
                        root.path("teams"),
                        (id, n) ->
                                new TeamSpec(id, n.path("share").asInt(), n.path("limit").asInt())),
                each(
                        root.path("keys"),
                        (id, n) ->
                                new KeySpec(
                                        id,
                                        n.path("team").asText(),
                                        KeyDigest.ofHex(n.path("digest").asText()))),
                each(root.path("queues"), ConfigurationJson::readQueue));
    }

    private static <T> SortedMap<String, T> each(
            JsonNode map, BiFunction<String, JsonNode, T> reader) {
        SortedMap<String, T> read = new TreeMap<>();
        map.properties().forEach(e -> read.put(e.getKey(), reader.apply(e.getKey(), e.getValue())));
        return read;
    }

    private static void writePool(ObjectNode node, PoolSpec pool) {
        node.put("quickReserve", pool.quickReserve())
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

    private static void writeHost(ObjectNode node, HostSpec host) {
        node.put("address", host.address())
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

    private static void writeQueue(ObjectNode node, QueueSpec queue) {
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
