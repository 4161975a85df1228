import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: a store, executors, the platform's list of machines,
 * and entries as separate processes with the run line of the deploy file.
 */
final class Site implements AutoCloseable {
    static final String HOST = "parts.example";
    static final String KEY = "key-of-north";
    static final String PREFIX = "/lookup/";
    static final String SERVICE = "desk";
    private static final String OWNER_KEY = "owner";
    private static final int READY_WITHIN_MS = 40_000;
    private static final int FIRST_WORKER = 100;
    private static final long UPKEEP_MS = 2_000;

    /** An entry: an address of its own and the process that runs there. */
    static final class Entry {
        final String mName;
        final String mIp;
        Process mProcess;
        double mCpuShare = 0.75;
        String mProxyIp;
        Proxy mToStore;
        Proxy mToCloud;

        Entry(String name, String ip) {
            mName = name;
            mIp = ip;
        }
    }

    final Record mRecord;
    final Store mStore;
    final List<Entry> mEntries = new ArrayList<>();
    final List<Worker> mWorkers = new ArrayList<>();
    final List<Worker.Run> mRuns = new ArrayList<>();
    final Map<String, Integer> mCpuByJob = new ConcurrentHashMap<>();
    final List<HostOrder> mOrders = new ArrayList<>();
    private final Set<String> mMaintained = new HashSet<>();
    private int mStartedWorkers;
    private final Path mDir;
    private final String mSubnet;
    private final int mFront;
    private final int mReady;
    private final int mPeer;
    private final int mStorePort;
    private final int mCloud;
    private final int mWorkerPort;

    Site(Record record) throws IOException {
        mRecord = record;
        mDir = Files.createTempDirectory("review-case");
        Random random = new Random();
        mSubnet = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        List<Integer> ports = freePorts(6);
        mFront = ports.get(0);
        mReady = ports.get(1);
        mPeer = ports.get(2);
        mStorePort = ports.get(3);
        mCloud = ports.get(4);
        mWorkerPort = ports.get(5);
        mStore = new Store(mSubnet + "1", mStorePort, record);
        Http.listen(mSubnet + "1", mCloud, this::cloud);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket();
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** An order for a machine, as the platform received it. */
    record HostOrder(long atMs, String machine, String holder, long fence, int status) {}

    private Http.Answer cloud(HttpExchange exchange, JsonNode body) throws IOException {
        String call = exchange.getRequestURI().getPath();
        if (call.equals("/api/machines")) {
            ObjectNode answer = Http.object();
            ArrayNode machines = answer.putArray("machines");
            synchronized (mWorkers) {
                mWorkers.forEach(worker -> machines.add(worker.describe()));
            }
            return new Http.Answer(200, answer.put("next_token", ""));
        }
        if (!call.equals("/api/machine-upkeep")) {
            return new Http.Answer(409, Http.object().put("reason", "busy"));
        }
        String holder = exchange.getRequestHeaders().getFirst("Duty-Holder");
        long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("Fence-Token"));
        String machine = body.path("machine").asText();
        Http.Answer answer = maintain(machine, body.path("wave").asLong());
        synchronized (mOrders) {
            mOrders.add(new HostOrder(mRecord.nowMs(), machine, holder, fence, answer.status()));
        }
        mRecord.say("platform: upkeep of " + machine + " ordered by " + holder + " fence=" + fence
                + " -> " + answer.status());
        return answer;
    }

    /** Begins the upkeep of a machine; it is back with a new executor after its time. */
    private Http.Answer maintain(String machine, long wave) {
        synchronized (mWorkers) {
            if (mMaintained.contains(machine + "/" + wave)) {
                return Http.Answer.of(200);
            }
            Worker worker = mWorkers.stream().filter(w -> w.mMachine.equals(machine)).findFirst()
                    .orElse(null);
            if (worker == null) {
                return Http.Answer.of(400);
            }
            if (!worker.isUp()) {
                return new Http.Answer(409, Http.object().put("reason", "busy"));
            }
            mMaintained.add(machine + "/" + wave);
            worker.leave();
            Thread upkeep = new Thread(() -> comeBack(worker));
            upkeep.setDaemon(true);
            upkeep.start();
            return Http.Answer.of(200);
        }
    }

    private void comeBack(Worker former) {
        try {
            Thread.sleep(UPKEEP_MS);
            synchronized (mWorkers) {
                mWorkers.remove(former);
                mWorkers.add(startWorker(former.mMachine, former.mStopMs));
            }
        } catch (Exception e) {
            mRecord.say(former.mMachine + " did not come back: " + e);
        }
    }

    /** Writes the first configuration: one queue, one service and one tenant. */
    void configure() {
        ObjectNode config = Http.object().put("version", 7);
        config.putArray("routes").addObject().put("name", "lookup").put("host", HOST)
                .put("prefix", PREFIX).put("service", SERVICE).put("prio", 0).put("attempts", 2)
                .put("extension", 1.6).put("slo_ms", 2_500);
        config.putArray("services").addObject().put("name", SERVICE)
                .put("enforces_capacity", true).put("health_path", "/healthz");
        ObjectNode tenant = config.putArray("tenants").addObject();
        tenant.put("name", "north").put("weight", 1);
        tenant.putObject("cap").put("cpu", 0).put("mem_mb", 0).put("gpu", 0);
        tenant.putArray("api_keys").add(KEY);
        config.putObject("limits");
        mStore.put("op/config", config);
    }

    /** Starts executors with an address each. */
    void startWorkers(int count, int stopMs) throws IOException {
        for (int i = 0; i < count; i++) {
            synchronized (mWorkers) {
                mWorkers.add(startWorker("m-" + (i + 1), stopMs));
            }
        }
    }

    private Worker startWorker(String machine, int stopMs) throws IOException {
        int number = ++mStartedWorkers;
        return new Worker(mSubnet + (FIRST_WORKER + number), mWorkerPort, "ex-" + number, machine,
                SERVICE, mStore, mRecord, this::cpu, stopMs, mRuns);
    }

    private int cpu(String task) {
        return mCpuByJob.getOrDefault(task.substring(0, task.indexOf('.')), 1_000);
    }

    Entry addEntry(String name, double cpuShare) throws IOException {
        Entry entry = new Entry(name, mSubnet + (10 + mEntries.size()));
        entry.mCpuShare = cpuShare;
        String proxyIp = mSubnet + (40 + mEntries.size());
        entry.mToStore = new Proxy(proxyIp, mStorePort, mSubnet + "1", mStorePort);
        entry.mToCloud = new Proxy(proxyIp, mCloud, mSubnet + "1", mCloud);
        entry.mProxyIp = proxyIp;
        mEntries.add(entry);
        return entry;
    }

    /** Starts an entry as the platform does, without waiting for it. */
    void start(Entry entry) throws IOException {
        Path settings = mDir.resolve(entry.mName + ".json");
        Files.writeString(settings, settings(entry).toPrettyString());
        ProcessBuilder builder = new ProcessBuilder(runLine());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("HIBISCUSUSHER_BOOT", settings.toString());
        Path log = mDir.resolve(entry.mName + ".log");
        entry.mProcess = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
        mRecord.line("entry " + entry.mName + " started, ip=" + entry.mIp);
    }

    private static List<String> runLine() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        return List.of(run.group(1).split(" "));
    }

    private ObjectNode settings(Entry entry) {
        ObjectNode node = Http.object();
        node.put("node", entry.mName).put("role", "entry").put("class", "edge");
        node.putArray("serves").add("edge").add("control");
        node.put("ip", entry.mIp).put("zone", "z-a").put("region", "r");
        node.putObject("zones").put("z-a", "r");
        node.putObject("listen").put("front", entry.mIp + ":" + mFront)
                .put("ready", entry.mIp + ":" + mReady).put("control", entry.mIp + ":" + mPeer);
        node.putArray("port_range").add(mPeer).add(mPeer);
        ArrayNode seeds = node.putArray("seeds");
        mEntries.stream().limit(3).forEach(e -> seeds.add(e.mIp + ":" + mPeer));
        node.put("bootstrap", true).put("counts_as_loss", false);
        node.putObject("limits").put("cpu_share", entry.mCpuShare).put("cores", 1)
                .put("memory_mb", 430).put("max_fds", 4_100).put("link_mbps", 1000.0)
                .put("disk_mb", 0);
        node.putNull("data_dir");
        node.put("discovery", "platform").put("entry", "vip").put("heartbeat_ms", 1_500);
        node.putObject("bounds").put("stable_ms", 3_000).put("ack_ms", 4_000)
                .put("drain_ms", 2_000).put("grace_s", 6).put("config_apply_ms", 2_000)
                .put("max_hold_ms", 10_000).put("kill_ms", 200).put("gang_wait_ms", 3_000)
                .put("cancel_ms", 3_000).put("visible_ms", 3_000).put("notice_ms", 4_500)
                .put("migrate_s", 1.5).put("maint_s", 2).put("fencing", false)
                .put("lease_ms", 3_000).put("checkpoint_s", 2).put("restore_ms", 100);
        node.put("control_mode", "invoke").put("hint", "");
        node.putObject("platform").put("addr", entry.mProxyIp + ":" + mStorePort).put("form", "kv")
                .put("writes_per_s", 400).put("reads_per_s", 2_000).put("history_s", 20)
                .put("value_bytes", 1_048_576).put("min_ttl_ms", 1_000);
        ObjectNode cloud = node.putObject("cloud");
        cloud.put("addr", entry.mProxyIp + ":" + mCloud).put("rate_per_s", 64.0)
                .put("duty_per_s", 64.0);
        cloud.putArray("duties");
        return node;
    }

    /** Waits until an entry tells the balancer that it is ready. */
    void awaitReady(Entry entry) throws Exception {
        long untilMs = mRecord.nowMs() + READY_WITHIN_MS;
        while (mRecord.nowMs() < untilMs) {
            if (!entry.mProcess.isAlive()) {
                throw new IOException(entry.mName + " ended");
            }
            if (isReady(entry)) {
                mRecord.line("entry " + entry.mName + " is ready");
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException(entry.mName + " is not ready");
    }

    private boolean isReady(Entry entry) {
        try {
            HttpURLConnection get = (HttpURLConnection) URI
                    .create("http://" + entry.mIp + ":" + mReady + "/api/readyz").toURL()
                    .openConnection();
            get.setConnectTimeout(500);
            get.setReadTimeout(500);
            return get.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until a caller's request is accepted, so that there is an owner with executors. */
    Entry awaitOwner() throws Exception {
        long untilMs = mRecord.nowMs() + READY_WITHIN_MS;
        while (mRecord.nowMs() < untilMs) {
            Entry owner = owner();
            if (owner != null) {
                mRecord.line("entry " + owner.mName + " owns the scheduling");
                return owner;
            }
            Thread.sleep(50);
        }
        throw new IOException("no entry owns the scheduling");
    }

    /** Returns the entry that the store names as the owner, or null. */
    Entry owner() {
        String record = mStore.text(OWNER_KEY);
        return mEntries.stream().filter(e -> record.contains(e.mName)).findFirst().orElse(null);
    }

    Caller connect(String name, Entry entry) throws IOException {
        return new Caller(name, entry.mIp, mFront, HOST, KEY, mRecord);
    }

    /** Returns the body of a submission of one step. */
    JsonNode submission(String id, int count, int cpu, int memMb, long workMs) {
        mCpuByJob.put(id, cpu);
        ObjectNode body = Http.object().put("spec", "ms=" + workMs);
        body.putArray("phases").add(step(count, cpu, memMb, workMs));
        return body;
    }

    static ObjectNode step(int count, int cpu, int memMb, long workMs) {
        return Http.object().put("count", count).put("cpu", cpu).put("mem_mb", memMb)
                .put("est_ms", workMs);
    }

    List<Worker.Run> runs() {
        synchronized (mRuns) {
            return List.copyOf(mRuns);
        }
    }

    /** Ends the processes and removes the temporary folder; the logs are kept if asked for. */
    @Override
    public synchronized void close() {
        for (Entry entry : mEntries) {
            if (entry.mProcess != null) {
                entry.mProcess.destroyForcibly();
            }
        }
        String keep = System.getenv("KEEP_LOGS");
        try (Stream<Path> files = Files.exists(mDir) ? Files.walk(mDir) : Stream.empty()) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                if (keep != null && file.toString().endsWith(".log")) {
                    Files.copy(file, Path.of(keep).resolve(file.getFileName()),
                            StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(file);
            }
        } catch (IOException e) {
            mRecord.line("temporary folder not removed: " + e);
        }
    }
}
