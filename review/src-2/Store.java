import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the platform's store. */
final class Store {
    private static final int PAGE = 500;
    private static final int ANSWER_MS = 4;
    private final TreeMap<String, Map<String, Object>> mItems = new TreeMap<>();
    private final List<Map<String, Object>> mHistory = new ArrayList<>();
    private final Map<Long, long[]> mLeases = new HashMap<>();
    private long mRevision = 100;
    private long mLastLease = 1_000;
    private final Http mHttp;

    Store(String ip) throws Exception {
        mHttp = Http.listen(ip, this::handle);
        Http.start("store-leases", this::expireLeases);
    }

    String address() {
        return mHttp.address();
    }

    private Http.Response handle(Http.Request request) throws Exception {
        Thread.sleep(ANSWER_MS);
        String path = request.path();
        if (path.equals("/api/kv-watch")) {
            return watch(request);
        }
        synchronized (this) {
            if (path.equals("/api/kv-key")) {
                Map<String, Object> item = mItems.get(request.query().get("key"));
                return item == null ? answer(404, Json.object()) : answer(200, item);
            } else if (path.equals("/api/kv-range")) {
                return range(request);
            } else if (path.equals("/api/kv-txn")) {
                return transact(request.json());
            } else if (path.equals("/api/kv-lease")) {
                long ttlMs = Math.max(1_000, Json.number(request.json(), "ttl_ms"));
                mLeases.put(++mLastLease, new long[] {ttlMs, now() + ttlMs});
                return answer(200, Json.object("lease", mLastLease, "ttl_ms", ttlMs));
            } else if (path.startsWith("/api/kv-keep/")) {
                long[] lease = mLeases.get(Long.parseLong(path.substring("/api/kv-keep/".length())));
                if (lease == null) {
                    return answer(404, Json.object());
                }
                lease[1] = now() + lease[0];
                return answer(200, Json.object("ttl_ms", lease[0]));
            } else if (path.startsWith("/api/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
                return answer(200, Json.object());
            }
        }
        return answer(404, Json.object());
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private Http.Response answer(int status, Map<String, Object> body) {
        Map<String, Object> all = new HashMap<>(body);
        all.put("current_rev", mRevision);
        return new Http.Response(status, Json.write(all));
    }

    private Http.Response range(Http.Request request) {
        String prefix = request.query().get("prefix");
        String after = request.query().getOrDefault("after", "");
        List<Object> items = new ArrayList<>();
        boolean truncated = false;
        for (Map.Entry<String, Map<String, Object>> entry : mItems.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) > 0) {
                if (items.size() == PAGE) {
                    truncated = true;
                    break;
                }
                items.add(entry.getValue());
            }
        }
        return answer(200, Json.object("items", items, "truncated", truncated));
    }

    private Http.Response watch(Http.Request request) throws InterruptedException {
        String prefix = request.query().get("prefix");
        long after = Long.parseLong(request.query().get("after"));
        long untilMs = now() + Long.parseLong(request.query().getOrDefault("wait_ms", "0"));
        synchronized (this) {
            while (true) {
                List<Object> events = new ArrayList<>();
                for (int i = mHistory.size() - 1; i >= 0; i--) {
                    Map<String, Object> event = mHistory.get(i);
                    if ((long) event.get("rev") <= after) {
                        break;
                    }
                    if (((String) event.get("key")).startsWith(prefix)) {
                        events.add(0, event);
                    }
                }
                long leftMs = untilMs - now();
                if (!events.isEmpty() || leftMs <= 0) {
                    return answer(200, Json.object("events", events));
                }
                wait(leftMs);
            }
        }
    }

    private Http.Response transact(Map<String, Object> body) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> guard : Json.objects(body, "expect_rev")) {
            Map<String, Object> item = mItems.get(Json.text(guard, "key"));
            long revision = item == null ? 0 : (long) item.get("rev");
            holds &= revision == Json.number(guard, "rev");
            if (item != null) {
                current.add(item);
            }
        }
        if (!holds) {
            return answer(412, Json.object("items", current));
        }
        for (Map<String, Object> write : Json.objects(body, "writes")) {
            long lease = Json.number(write, "lease");
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return answer(404, Json.object());
            }
        }
        mRevision++;
        for (Map<String, Object> write : Json.objects(body, "writes")) {
            put(Json.text(write, "key"), Json.text(write, "value"), Json.number(write, "lease"));
        }
        Object removals = body.get("remove");
        if (removals instanceof List<?> keys) {
            keys.forEach(key -> remove((String) key));
        }
        notifyAll();
        return answer(200, Json.object("rev", mRevision));
    }

    private void put(String key, String value, long lease) {
        Map<String, Object> before = mItems.get(key);
        long created = before == null ? mRevision : (long) before.get("created");
        Map<String, Object> item =
                Json.object(
                        "key", key, "value", value, "rev", mRevision, "created", created, "lease",
                        lease);
        mItems.put(key, item);
        mHistory.add(item);
    }

    private void remove(String key) {
        if (mItems.remove(key) != null) {
            mHistory.add(Json.object("key", key, "rev", mRevision, "deleted", true));
        }
    }

    private void endLease(long id) {
        if (mLeases.remove(id) == null) {
            return;
        }
        List<String> keys = new ArrayList<>();
        for (Map<String, Object> item : mItems.values()) {
            if ((long) item.get("lease") == id) {
                keys.add((String) item.get("key"));
            }
        }
        if (!keys.isEmpty()) {
            mRevision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long nowMs = now();
                for (long id : List.copyOf(mLeases.keySet())) {
                    if (mLeases.get(id)[1] < nowMs) {
                        endLease(id);
                    }
                }
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Writes an item as the operator or an executor does. */
    synchronized void write(String key, Map<String, Object> value) {
        write(key, Json.write(value).getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    /** Writes any bytes, as another writer may do. */
    synchronized void write(String key, byte[] value) {
        mRevision++;
        put(key, Base64.getEncoder().encodeToString(value), 0);
        notifyAll();
    }

    /** Removes an item as the platform does. */
    synchronized void delete(String key) {
        mRevision++;
        remove(key);
        notifyAll();
    }

    /** Returns the value of an item as text; empty if there is none. */
    synchronized String text(String key) {
        Map<String, Object> item = mItems.get(key);
        byte[] value = item == null ? new byte[0] : Base64.getDecoder().decode((String) item.get("value"));
        return new String(value, java.nio.charset.StandardCharsets.ISO_8859_1);
    }
}
