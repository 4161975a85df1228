import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's key-value store: compare-and-swap, leases and watches, with its whole history. */
final class Store {
    private static final int ANSWER_MS = 4;
    private static final int PAGE = 500;

    private record Item(byte[] value, long rev, long created, long lease) {}

    private record Event(String key, Item item, long rev) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 100;
    private final Web web;

    Store() throws Exception {
        web = new Web(this::handle);
        Thread ticker = new Thread(this::expireLeases);
        ticker.setDaemon(true);
        ticker.start();
    }

    String address() {
        return web.address();
    }

    /** Writes a key as the operator or an executor does. */
    synchronized void put(String key, JsonNode value) throws Exception {
        write(key, Web.JSON.writeValueAsBytes(value), 0, ++revision);
        notifyAll();
    }

    synchronized void delete(String key) {
        if (items.containsKey(key)) {
            drop(key, ++revision);
            notifyAll();
        }
    }

    /** Returns the value of a key as JSON, or null. */
    synchronized JsonNode get(String key) throws Exception {
        Item item = items.get(key);
        return item == null ? null : Web.JSON.readTree(item.value());
    }

    private void write(String key, byte[] value, long lease, long rev) {
        Item old = items.get(key);
        Item item = new Item(value, rev, old == null ? rev : old.created(), lease);
        items.put(key, item);
        events.add(new Event(key, item, rev));
    }

    private void drop(String key, long rev) {
        items.remove(key);
        events.add(new Event(key, null, rev));
    }

    private void expireLeases() {
        while (true) {
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long nowMs = System.nanoTime() / 1_000_000;
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> { if (nowMs >= lease[1]) { ended.add(id); } });
                ended.forEach(this::endLease);
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> { if (item.lease() == id) { keys.add(key); } });
        if (!keys.isEmpty()) {
            long rev = ++revision;
            keys.forEach(key -> drop(key, rev));
            notifyAll();
        }
    }

    private Web.Reply handle(Web.Call call) throws Exception {
        Thread.sleep(ANSWER_MS);
        String path = call.path();
        if (path.equals("/api/kv-watch")) {
            return watch(call);
        }
        synchronized (this) {
            if (path.equals("/api/kv-key")) {
                Item item = items.get(call.query().get("key"));
                return item == null ? Web.reply(404) : new Web.Reply(200, node(call.query().get("key"), item).put("current_rev", revision));
            } else if (path.equals("/api/kv-range")) {
                return range(call);
            } else if (path.equals("/api/kv-txn")) {
                return transact(call.body());
            } else if (path.equals("/api/kv-lease")) {
                long ttl = call.body().path("ttl_ms").asLong();
                leases.put(++lastLease, new long[] {ttl, System.nanoTime() / 1_000_000 + ttl});
                return new Web.Reply(200, Web.JSON.createObjectNode().put("lease", lastLease).put("ttl_ms", ttl));
            } else if (path.startsWith("/api/kv-keep/")) {
                long[] lease = leases.get(Long.parseLong(path.substring("/api/kv-keep/".length())));
                if (lease == null) {
                    return Web.reply(404);
                }
                lease[1] = System.nanoTime() / 1_000_000 + lease[0];
                return new Web.Reply(200, Web.JSON.createObjectNode().put("ttl_ms", lease[0]));
            } else if (path.startsWith("/api/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
                return Web.reply(200);
            }
            return Web.reply(400);
        }
    }

    private static ObjectNode node(String key, Item item) {
        return Web.JSON.createObjectNode()
                .put("key", key)
                .put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("rev", item.rev())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private Web.Reply range(Web.Call call) {
        String prefix = call.query().get("prefix");
        String after = call.query().getOrDefault("after", "");
        ObjectNode out = Web.JSON.createObjectNode();
        ArrayNode list = out.putArray("items");
        boolean truncated = false;
        for (Map.Entry<String, Item> entry : items.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) > 0) {
                if (list.size() == PAGE) {
                    truncated = true;
                    break;
                }
                list.add(node(entry.getKey(), entry.getValue()));
            }
        }
        return new Web.Reply(200, out.put("truncated", truncated).put("current_rev", revision));
    }

    private Web.Reply watch(Web.Call call) throws Exception {
        String prefix = call.query().get("prefix");
        long after = Long.parseLong(call.query().get("after"));
        long untilMs = System.nanoTime() / 1_000_000 + Long.parseLong(call.query().getOrDefault("wait_ms", "0"));
        synchronized (this) {
            while (true) {
                ObjectNode out = Web.JSON.createObjectNode();
                ArrayNode list = out.putArray("events");
                for (int i = events.size() - 1; i >= 0 && events.get(i).rev() > after; i--) {
                    Event event = events.get(i);
                    if (event.key().startsWith(prefix)) {
                        list.insert(
                                0,
                                event.item() == null
                                        ? Web.JSON.createObjectNode().put("key", event.key()).put("rev", event.rev()).put("deleted", true)
                                        : node(event.key(), event.item()));
                    }
                }
                long leftMs = untilMs - System.nanoTime() / 1_000_000;
                if (!list.isEmpty() || leftMs <= 0) {
                    return new Web.Reply(200, out.put("current_rev", revision));
                }
                wait(leftMs);
            }
        }
    }

    private Web.Reply transact(JsonNode body) {
        boolean holds = true;
        for (JsonNode row : body.path("expect_rev")) {
            Item item = items.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.rev()) == row.path("rev").asLong();
        }
        if (!holds) {
            ObjectNode out = Web.JSON.createObjectNode();
            ArrayNode list = out.putArray("items");
            for (JsonNode row : body.path("expect_rev")) {
                String key = row.path("key").asText();
                if (items.containsKey(key)) {
                    list.add(node(key, items.get(key)));
                }
            }
            return new Web.Reply(412, out);
        }
        for (JsonNode row : body.path("writes")) {
            long lease = row.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return Web.reply(404);
            }
            String key = row.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return Web.reply(403);
            }
        }
        long rev = ++revision;
        for (JsonNode row : body.path("writes")) {
            write(row.path("key").asText(), Base64.getDecoder().decode(row.path("value").asText()), row.path("lease").asLong(), rev);
        }
        for (JsonNode key : body.path("remove")) {
            if (items.containsKey(key.asText())) {
                drop(key.asText(), rev);
            }
        }
        notifyAll();
        return new Web.Reply(200, Web.JSON.createObjectNode().put("rev", rev));
    }
}
