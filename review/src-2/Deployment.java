import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Entries as separate processes, the stand-ins around them, and a requester. */
final class Deployment implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    static final String KEY = "sjnbanfqasnmgkcuyj8p";
    static final String HOST = "pule25.example";
    static final String PREFIX = "/puxa400/";
    static final String SERVICE = "permits";
    private static final int DEADLINE_MS = 3_000;

    /** Cap of the tenant, out of reach. */
    private static final int TENANT_CPU = 1_808_141;

    final Store mStore;
    final Fleet mFleet;
    final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path mDir = Files.createTempDirectory("case");
    private final List<Process> mProcesses = new ArrayList<>();
    private final List<String> mFronts = new ArrayList<>();
    private final List<String> mReadies = new ArrayList<>();
    private final String mHint;
    private int mNextFront;

    /** Starts a store, executors of one service, and entries, and waits until these are ready. */
    Deployment(Path record, int entries, int executors) throws Exception {
        mStore = new Store("127.0.0.2");
        mFleet = new Fleet(mStore, record);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (int i = 0; i < executors; i++) {
            mFleet.add("127.0.1." + (i + 1), SERVICE, i);
        }
        writeConfiguration(1, "r-4jcda9r");
        String machines = mFleet.serveMachines("127.0.0.3");
        mHint = mFleet.serveHint("127.0.0.4");
        int base = freePorts(entries);
        for (int i = 0; i < entries; i++) {
            start(i, entries, base, machines);
        }
        for (String ready : mReadies) {
            awaitReady(ready);
        }
        mFleet.record("entries ready " + mFronts);
    }

    /** Writes a configuration with one route, the prefix and service of which stay the same. */
    void writeConfiguration(int version, String route) {
        Map<String, Object> queue =
                Json.object(
                        "name", route, "host", HOST, "prefix", PREFIX, "kind", "mutating",
                        "timeout_ms", 3_000, "slo_ms", 600, "prio", 1, "service", SERVICE,
                        "attempts", 2, "extension", 1.6, "public", false);
        Map<String, Object> service = Json.object("name", SERVICE, "enforces_capacity", true);
        Map<String, Object> tenant =
                Json.object(
                        "name", "cugo130", "api_keys", List.of(KEY), "weight", 24, "cap",
                        Json.object("cpu", TENANT_CPU, "mem_mb", 2_606_127, "gpu", 0));
        mStore.write(
                "op/config",
                Json.object(
                        "version", version, "routes", List.of(queue), "services",
                        List.of(service), "tenants", List.of(tenant), "limits", Json.object()));
        mFleet.record("configuration " + version + " with route " + route + " acknowledged");
    }

    private static int freePorts(int entries) throws IOException {
        // Deployments that start at the same time begin their search at different ports.
        int first = (int) (ProcessHandle.current().pid() % 90);
        for (int i = 0; i < 90; i++) {
            int base = 21_000 + (first + i) % 90 * 100;
            if (isFree(base, entries)) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean isFree(int base, int entries) {
        for (int i = 0; i < entries; i++) {
            for (int port = base; port < base + 20; port++) {
                try (ServerSocket socket =
                        new ServerSocket(port, 1, InetAddress.getByName(ip(i)))) {
                    continue;
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    private static String ip(int entry) {
        return "127.0.0." + (20 + entry);
    }

    private void start(int entry, int entries, int base, String machines) throws IOException {
        String ip = ip(entry);
        List<Object> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, entries); i++) {
            seeds.add(ip(i) + ":" + (base + 18));
        }
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("node", "edge-gimhae-" + (entry + 1));
        settings.put("role", "entry");
        settings.put("class", "edge");
        settings.put("serves", List.of("edge", "control"));
        settings.put("ip", ip);
        settings.put("zone", "gimhae");
        settings.put("region", "gyeongnam");
        settings.put("zones", Json.object("gimhae", "gyeongnam"));
        settings.put(
                "listen",
                Json.object(
                        "front", ip + ":" + (base + 16), "ready", ip + ":" + (base + 17),
                        "control", ip + ":" + (base + 18)));
        settings.put("port_range", List.of(base, base + 15));
        settings.put("seeds", seeds);
        settings.put("bootstrap", true);
        settings.put(
                "limits",
                Json.object("cpu_share", 0.75, "cores", 1, "memory_mb", 430, "max_fds", 4_100));
        settings.put("heartbeat_ms", 1_500);
        settings.put(
                "bounds",
                Json.object(
                        "max_hold_ms", Fleet.MAX_HOLD_MS, "lease_ms", 3_000, "notice_ms", 4_500,
                        "gang_wait_ms", 3_000, "kill_ms", 400, "cancel_ms", 3_000,
                        "visible_ms", 3_000, "config_apply_ms", 2_000));
        settings.put("control_mode", "invoke");
        settings.put("hint", mHint);
        settings.put("platform", Json.object("addr", mStore.address(), "form", "kv"));
        settings.put("cloud", Json.object("addr", machines, "rate_per_s", 64.0));
        Path file = mDir.resolve("entry" + entry + ".json");
        Files.writeString(file, Json.write(settings));
        ProcessBuilder builder = new ProcessBuilder(runCommand());
        builder.environment().put("HIBISCUSUSHER_BOOT", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(mDir.resolve("entry" + entry + ".log").toFile());
        mProcesses.add(builder.start());
        mFronts.add(ip + ":" + (base + 16));
        mReadies.add(ip + ":" + (base + 17));
    }

    /** Returns the command of the deploy file. */
    private static List<String> runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.length() - 1).split(" "));
            }
        }
        throw new IOException("no run line in deploy/system.toml");
    }

    private static void awaitReady(String address) throws IOException {
        for (int i = 0; i < 300; i++) {
            if (Http.call(address, "GET", "/api/readyz", Map.of("Host", "x"), "", 500).status()
                    == 200) {
                return;
            }
            Fleet.sleep(100);
        }
        throw new IOException("not ready: " + address);
    }

    /** Returns the index of the entry that owns the scheduling, by the store; -1 for none. */
    int ownerIndex() {
        String record = mStore.text("owner");
        for (int i = 0; i < mProcesses.size(); i++) {
            if (record.contains("edge-gimhae-" + (i + 1))) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the process of the entry that owns the scheduling; null for none. */
    Process owner() {
        int index = ownerIndex();
        return index < 0 ? null : mProcesses.get(index);
    }

    /** Sends a signal to the process of an entry. */
    void signal(int entry, String name) {
        try {
            String pid = Long.toString(mProcesses.get(entry).pid());
            new ProcessBuilder("kill", "-" + name, pid).start().waitFor();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a call once, to the next entry in turn. */
    Http.Response callOnce(String method, String id, String body) {
        return callAt(Math.floorMod(mNextFront++, mFronts.size()), method, id, body);
    }

    /** Sends a call once, to one entry. */
    Http.Response callAt(int entry, String method, String id, String body) {
        return callAt(entry, KEY, method, id, body);
    }

    /** Sends a call of a tenant once, to one entry. */
    Http.Response callAt(int entry, String key, String method, String id, String body) {
        String front = mFronts.get(entry);
        Map<String, String> headers =
                Map.of(
                        "Host", HOST, "Authorization", "Bearer " + key, "Content-Type",
                        "application/json", "Deadline-Ms", Integer.toString(DEADLINE_MS));
        Http.Response response =
                Http.call(front, method, PREFIX + id, headers, body, DEADLINE_MS);
        mFleet.record(
                "call " + method + " " + PREFIX + id + " at " + front + ": "
                        + response.status() + " " + response.body());
        return response;
    }

    /** Sends a call, and again after no answer, 502, 503, 504 or 429, at another entry. */
    Http.Response call(String method, String id, String body) {
        Http.Response response = callOnce(method, id, body);
        for (int i = 0; i < 4; i++) {
            int status = response.status();
            if (status != 0 && status != 429 && (status < 502 || status > 504)) {
                break;
            }
            Fleet.sleep(status == 429 || status == 503 ? 1_000 : 50);
            response = callOnce(method, id, body);
        }
        return response;
    }

    /** Submits a job of one step. */
    Http.Response submit(String id, String spec, Map<String, Object> step) {
        return call(
                "POST", id, Json.write(Json.object("spec", spec, "phases", List.of(step))));
    }

    String state(String id) {
        Http.Response response = call("GET", id, "");
        return response.status() == 200
                ? Json.text(response.json(), "state")
                : "status " + response.status();
    }

    /** Waits until a job is shown in a state; returns whether it was in time. */
    boolean awaitState(String id, String state, long timeoutMs) {
        for (long untilMs = Fleet.now() + timeoutMs; Fleet.now() < untilMs; Fleet.sleep(300)) {
            if (state(id).equals(state)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void close() {
        mProcesses.forEach(Process::destroyForcibly);
        try {
            for (Process process : mProcesses) {
                process.waitFor(5, TimeUnit.SECONDS);
            }
            if (System.getenv("KEEP_LOGS") == null) {
                try (var files = Files.list(mDir)) {
                    for (Path file : files.toList()) {
                        Files.delete(file);
                    }
                }
                Files.delete(mDir);
            }
        } catch (IOException | InterruptedException e) {
            // The folder is a temporary one.
        }
    }
}
