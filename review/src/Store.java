import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the platform's store, by the page on its protocol. */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final int USUAL_DELAY_MS = 4;
    private static final long UNANSWERED_MS = 30_000;

    /** Whether the store answers. */
    enum Mode {
        SERVING,
        /** Requests are neither carried out nor answered. */
        SILENT,
        /** Requests are answered with 503, which says that nothing was done. */
        BUSY
    }

    private record Item(String key, String value, long rev, long created, long lease) {}

    private record Event(Item item, boolean deleted) {}

    private static final class Lease {
        long mTtlMs;
        long mEndMs;
    }

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Record mRecord;
    private volatile Mode mMode = Mode.SERVING;
    private volatile boolean mLeasesPause = true;
    private volatile int mDelayMs = USUAL_DELAY_MS;
    private long mRev = 100;
    private long mLastLease = 10;

    Store(String ip, int port, Record record) throws IOException {
        mRecord = record;
        Http.listen(ip, port, this::handle);
        Thread expiry = new Thread(this::expireLeases);
        expiry.setDaemon(true);
        expiry.start();
    }

    /** Starts or ends an outage; leases pause or run out during one. */
    synchronized void setMode(Mode mode, boolean leasesPause) {
        mRecord.say("store is " + mode + (mode == Mode.SERVING ? "" : ", leases "
                + (leasesPause ? "pause" : "run out")));
        mLeasesPause = leasesPause;
        mMode = mode;
        notifyAll();
    }

    /** Multiplies the time that an answer takes. */
    void setSlowness(int factor) {
        mRecord.say("store answers take " + factor + " times as long");
        mDelayMs = USUAL_DELAY_MS * factor;
    }

    /** Writes an item as the operator or an executor does. */
    synchronized void put(String key, JsonNode value) {
        write(key, Base64.getEncoder().encodeToString(
                value.toString().getBytes(StandardCharsets.UTF_8)), 0);
    }

    boolean isServing() {
        return mMode == Mode.SERVING;
    }

    /** Waits as long as a write of an executor takes to be carried out. */
    void awaitWrite() throws InterruptedException {
        Thread.sleep(mDelayMs / 2);
    }

    synchronized void remove(String key) {
        delete(key);
    }

    /** Returns a value as text; empty if the key does not exist. */
    synchronized String text(String key) {
        Item item = mItems.get(key);
        return item == null ? "" : new String(
                Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private Http.Answer handle(HttpExchange exchange, JsonNode body) throws Exception {
        String call = exchange.getRequestURI().getPath();
        if (mMode == Mode.SILENT) {
            return leaveUnanswered();
        }
        if (mMode == Mode.BUSY) {
            return Http.Answer.of(503);
        }
        if (call.equals("/api/kv-watch")) {
            return watch(exchange);
        }
        Thread.sleep(mDelayMs / 2);
        Http.Answer answer;
        synchronized (this) {
            if (mMode != Mode.SERVING) {
                answer = null;
            } else {
                answer = carryOut(call, exchange, body);
            }
        }
        if (answer == null) {
            return mMode == Mode.BUSY ? Http.Answer.of(503) : leaveUnanswered();
        }
        Thread.sleep(mDelayMs - mDelayMs / 2);
        return answer;
    }

    /** Leaves a request unanswered; nothing more comes on its connection either. */
    private Http.Answer leaveUnanswered() throws InterruptedException {
        Thread.sleep(UNANSWERED_MS);
        return null;
    }

    private Http.Answer carryOut(String call, HttpExchange exchange, JsonNode body) {
        if (call.equals("/api/kv-key")) {
            Item item = mItems.get(Http.query(exchange, "key"));
            ObjectNode node = item == null ? Http.object() : toJson(item);
            return new Http.Answer(item == null ? 404 : 200, node.put("current_rev", mRev));
        }
        if (call.equals("/api/kv-range")) {
            return range(Http.query(exchange, "prefix"), Http.query(exchange, "after"));
        }
        if (call.equals("/api/kv-txn")) {
            return transact(body);
        }
        if (call.equals("/api/kv-lease")) {
            Lease lease = new Lease();
            lease.mTtlMs = Math.max(1_000, body.path("ttl_ms").asLong());
            lease.mEndMs = mRecord.nowMs() + lease.mTtlMs;
            mLeases.put(++mLastLease, lease);
            return new Http.Answer(200,
                    Http.object().put("lease", mLastLease).put("ttl_ms", lease.mTtlMs));
        }
        if (call.startsWith("/api/kv-keep/")) {
            Lease lease = mLeases.get(Long.parseLong(call.substring("/api/kv-keep/".length())));
            if (lease == null) {
                return Http.Answer.of(404);
            }
            lease.mEndMs = mRecord.nowMs() + lease.mTtlMs;
            return Http.Answer.of(200);
        }
        if (call.startsWith("/api/kv-lease-end/")) {
            endLease(Long.parseLong(call.substring("/api/kv-lease-end/".length())));
            return Http.Answer.of(200);
        }
        return Http.Answer.of(400);
    }

    private Http.Answer range(String prefix, String after) {
        ObjectNode answer = Http.object();
        ArrayNode items = answer.putArray("items");
        boolean truncated = false;
        for (Item item : mItems.tailMap(prefix).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (item.key().compareTo(after) <= 0) {
                continue;
            }
            if (items.size() == PAGE_ITEMS) {
                truncated = true;
                break;
            }
            items.add(toJson(item));
        }
        return new Http.Answer(200,
                answer.put("truncated", truncated).put("current_rev", mRev));
    }

    private Http.Answer transact(JsonNode body) {
        for (JsonNode guard : body.path("expect_rev")) {
            Item item = mItems.get(guard.path("key").asText());
            if (guard.path("rev").asLong() != (item == null ? 0 : item.rev())) {
                return conflict(body);
            }
        }
        for (JsonNode write : body.path("writes")) {
            long lease = write.path("lease").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return Http.Answer.of(404);
            }
        }
        mRev++;
        for (JsonNode write : body.path("writes")) {
            apply(write.path("key").asText(), write.path("value").asText(),
                    write.path("lease").asLong());
            mRecord.line("store rev=" + mRev + " write " + write.path("key").asText());
        }
        for (JsonNode key : body.path("remove")) {
            applyRemoval(key.asText());
            mRecord.line("store rev=" + mRev + " remove " + key.asText());
        }
        notifyAll();
        return new Http.Answer(200, Http.object().put("rev", mRev));
    }

    private Http.Answer conflict(JsonNode body) {
        ObjectNode answer = Http.object();
        ArrayNode items = answer.putArray("items");
        for (JsonNode guard : body.path("expect_rev")) {
            Item item = mItems.get(guard.path("key").asText());
            if (item != null) {
                items.add(toJson(item));
            }
        }
        return new Http.Answer(412, answer);
    }

    private Http.Answer watch(HttpExchange exchange) throws InterruptedException {
        String prefix = Http.query(exchange, "prefix");
        long after = Long.parseLong(Http.query(exchange, "after"));
        long untilMs = mRecord.nowMs() + Long.parseLong(Http.query(exchange, "wait_ms"));
        ObjectNode answer = Http.object();
        ArrayNode events = answer.putArray("events");
        synchronized (this) {
            while (true) {
                if (mMode == Mode.BUSY) {
                    return null;
                }
                if (mMode == Mode.SILENT) {
                    break;
                }
                addEvents(prefix, after, events);
                long leftMs = untilMs - mRecord.nowMs();
                if (!events.isEmpty() || leftMs <= 0) {
                    break;
                }
                wait(leftMs);
            }
            if (mMode == Mode.SILENT) {
                events = null;
            }
            answer.put("current_rev", mRev);
        }
        if (events == null) {
            return leaveUnanswered();
        }
        Thread.sleep(mDelayMs);
        return new Http.Answer(200, answer);
    }

    private void addEvents(String prefix, long after, ArrayNode events) {
        for (Event event : mEvents) {
            Item item = event.item();
            if (item.rev() > after && item.key().startsWith(prefix)) {
                events.add(event.deleted()
                        ? Http.object().put("key", item.key()).put("rev", item.rev())
                                .put("deleted", true)
                        : toJson(item));
            }
        }
    }

    private static ObjectNode toJson(Item item) {
        return Http.object().put("key", item.key()).put("value", item.value())
                .put("rev", item.rev()).put("created", item.created())
                .put("lease", item.lease());
    }

    private void write(String key, String value, long lease) {
        mRev++;
        apply(key, value, lease);
        notifyAll();
    }

    private void delete(String key) {
        mRev++;
        applyRemoval(key);
        notifyAll();
    }

    private void apply(String key, String value, long lease) {
        Item before = mItems.get(key);
        Item item = new Item(key, value, mRev, before == null ? mRev : before.created(), lease);
        mItems.put(key, item);
        mEvents.add(new Event(item, false));
    }

    private void applyRemoval(String key) {
        if (mItems.remove(key) != null) {
            mEvents.add(new Event(new Item(key, "", mRev, 0, 0), true));
        }
    }

    private void expireLeases() {
        long lastMs = mRecord.nowMs();
        while (true) {
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long nowMs = mRecord.nowMs();
                for (Map.Entry<Long, Lease> entry : List.copyOf(mLeases.entrySet())) {
                    if (mMode != Mode.SERVING && mLeasesPause) {
                        entry.getValue().mEndMs += nowMs - lastMs;
                    } else if (nowMs > entry.getValue().mEndMs) {
                        endLease(entry.getKey());
                    }
                }
                lastMs = nowMs;
            }
        }
    }

    private void endLease(long id) {
        if (mLeases.remove(id) == null) {
            return;
        }
        for (Item item : List.copyOf(mItems.values())) {
            if (item.lease() == id) {
                mRecord.line("store lease of " + item.key() + " ended");
                delete(item.key());
            }
        }
    }
}
