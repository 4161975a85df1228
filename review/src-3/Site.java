import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** A small deployment: store, cloud, executors and the system's own processes, on loopback. */
abstract class Site implements AutoCloseable {
    static final String SERVICE = "permits";
    static final String HOST = "pule25.example";
    static final String PREFIX = "/puxa400/";
    static final int MAX_HOLD_MS = 6_000;
    static final int KILL_MS = 400;
    static final int GANG_WAIT_MS = 3_000;
    static final int CHECKPOINT_MS = 500;
    static final int MAINT_MS = 2_000;
    static final int HEARTBEAT_MS = 1_500;

    /** Whether the case's disruption takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Record record;
    final Path folder;
    final Store store;
    final Cloud cloud;
    final Policy policy;
    final List<Entry> entries = new ArrayList<>();
    final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<Executor> lives = new CopyOnWriteArrayList<>();
    private final Set<String> upkeeps = new HashSet<>();
    final Map<String, Task> kinds = new ConcurrentHashMap<>();
    final Caller caller = new Caller(this);
    boolean checkpoints;
    long killMs = 150;
    private int lastExecutor;

    Site(Path recordFile) throws Exception {
        record = new Record(recordFile);
        folder = Files.createTempDirectory("review-3-");
        store = new Store();
        cloud = new Cloud(this);
        policy = new Policy(this);
        for (Runnable task : List.<Runnable>of(this::tickExecutors, this::beat)) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Plays the case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
    final void play() throws Exception {
        try {
            run();
            giveUp("no verdict");
        } catch (Throwable e) {
            e.printStackTrace();
            giveUp(e.toString());
        }
    }

    /** The case; ends with a verdict. */
    abstract void run() throws Exception;

    final long nowMs() {
        return record.nowMs();
    }

    private void tickExecutors() {
        while (true) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                for (Executor executor : executors()) {
                    executor.tick();
                }
            }
        }
    }

    /** Lets executors write their entries; the platform removes the entry of a silent one. */
    private void beat() {
        while (true) {
            try {
                Thread.sleep(100);
                for (Executor executor : List.copyOf(lives)) {
                    if (executor.silentMs() >= HEARTBEAT_MS) {
                        executor.beat();
                    }
                    boolean replaced = executors().stream().anyMatch(e -> e != executor && e.id.equals(executor.id));
                    if (executor.silentMs() >= 3 * HEARTBEAT_MS && !replaced) {
                        store.delete("servers/" + executor.id);
                    }
                }
            } catch (InterruptedException e) {
                return;
            } catch (Exception e) {
                record.line("store", "an entry was not written: " + e);
            }
        }
    }

    /** Returns the lives of executors that have not ended. */
    final synchronized List<Executor> executors() {
        List<Executor> live = new ArrayList<>();
        for (Machine machine : machines.values()) {
            if (machine.executor() != null && !machine.executor().isGone()) {
                live.add(machine.executor());
            }
        }
        return live;
    }

    /** Starts a new life of an executor on a machine, with a new id. */
    final Executor addExecutor(String machine, int cpu, boolean guards) throws Exception {
        return addExecutor("i-" + machine + "-" + ++lastExecutor, machine, cpu, guards);
    }

    /** Starts a new life of an executor on a machine. */
    final Executor addExecutor(String id, String machine, int cpu, boolean guards) throws Exception {
        Executor executor;
        synchronized (this) {
            executor = new Executor(this, id, machine, cpu, guards);
            machines.put(machine, new Machine(machine, cpu, "up", executor));
        }
        lives.add(executor);
        executor.register();
        return executor;
    }

    /** Writes the configuration: one queue, one service, and tenants with a key "key-NAME" each. */
    final void configure(boolean guards, boolean hint, Map<String, Integer> capByTenant) throws Exception {
        ObjectNode node = Web.JSON.createObjectNode().put("version", 7);
        ObjectNode route = node.putArray("routes").addObject();
        route.put("name", "r-1").put("host", HOST).put("prefix", PREFIX).put("kind", "mutating");
        route.put("timeout_ms", 3000).put("slo_ms", 60000).put("prio", 0).put("service", SERVICE);
        route.put("attempts", 4).put("extension", 2.2).put("public", false);
        if (hint) {
            route.putObject("hint")
                    .put("decide_ms", Policy.DECIDE_MS)
                    .put("each_ms", Policy.EACH_MS)
                    .put("valid_ms", Policy.VALID_MS);
        }
        ObjectNode service = node.putArray("services").addObject();
        service.put("name", SERVICE).put("health_path", "/healthz").put("max_conns", 64).put("proto", "h1");
        service.put("tls", false).put("enforces_capacity", guards).put("standby", false);
        node.putObject("limits").put("max_body_bytes", 262144);
        ArrayNode tenants = node.putArray("tenants");
        capByTenant.forEach(
                (name, cap) -> {
                    ObjectNode tenant = tenants.addObject().put("name", name).put("prio", 1).put("weight", 24);
                    tenant.putArray("api_keys").add("key-" + name);
                    tenant.putObject("cap").put("cpu", cap).put("mem_mb", 0).put("gpu", 0);
                });
        store.put("op/config", node);
        record.line("operator", "configuration " + node);
    }

    /** Starts the system's processes, and waits until one of them owns the scheduling. */
    final void startEntries(int count) throws Exception {
        List<String> ips = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ips.add("127.0.0." + (11 + i));
        }
        int[] ports = new int[4];
        for (int i = 0; i < ports.length; i++) {
            ports[i] = freePort(ips);
        }
        List<String> seeds = ips.stream().map(ip -> ip + ":" + ports[2]).toList();
        for (int i = 0; i < count; i++) {
            Entry entry = new Entry(this, "edge-gimhae-" + (i + 1), ips.get(i), ports, seeds);
            entries.add(entry);
            entry.start(this);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killEntries));
        for (int i = 0; i < 150 && owner() == null; i++) {
            Thread.sleep(100);
        }
        Thread.sleep(1500);
    }

    private static int freePort(List<String> ips) throws Exception {
        while (true) {
            int port;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ips.get(0)))) {
                port = socket.getLocalPort();
            }
            boolean free = true;
            for (String ip : ips) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                    free &= socket.isBound();
                } catch (java.io.IOException e) {
                    free = false;
                }
            }
            if (free) {
                return port;
            }
        }
    }

    /** Returns the process that took the ownership last, by the processes' logs; null if none did. */
    final Entry owner() throws Exception {
        Entry latest = null;
        long highest = -1;
        for (Entry entry : entries) {
            String line = entry.lastOwnerLine();
            if (line != null) {
                long generation = Long.parseLong(line.replaceAll(".*generation=([0-9]+).*", "$1"));
                if (generation > highest) {
                    highest = generation;
                    latest = entry;
                }
            }
        }
        return latest;
    }

    private void killEntries() {
        entries.stream().filter(Entry::isAlive).forEach(entry -> entry.kill(this));
    }

    /** Makes the steps of a submission known to the executors. */
    final void define(String id, Task... steps) {
        for (int i = 0; i < steps.length; i++) {
            kinds.put(id + ".0." + i, steps[i]);
        }
    }

    Task kindOf(String task) {
        return kinds.get(task.substring(0, task.lastIndexOf('.')));
    }

    /** Lets a gang begin once all members of a run are present and carry the same checkpoint. */
    final void joinGang(Executor.Run joined) {
        List<Executor.Run> members = new ArrayList<>();
        for (Executor executor : executors()) {
            for (Executor.Run run : executor.running.values()) {
                if (run.step().equals(joined.step())
                        && run.run == joined.run
                        && run.checkpoint.equals(joined.checkpoint)) {
                    members.add(run);
                }
            }
        }
        if (members.size() == joined.kind.count()) {
            members.forEach(run -> run.beganMs = nowMs());
            record.line("gang", joined.step() + " run " + joined.run + " works");
        }
    }

    /** Begins the upkeep of a machine: ends its executor; a new one comes later. */
    final Web.Reply upkeep(String name, int wave, String holder, String fence) throws Exception {
        synchronized (this) {
            Machine machine = machines.get(name);
            String duty = "upkeep of " + name + " for wave " + wave + " ordered by " + holder + " fence " + fence;
            if (!upkeeps.add(name + " " + wave)) {
                record.line("cloud", duty + ": already done");
                return Web.reply(200);
            }
            record.line("cloud", duty);
            if (machine == null) {
                return Web.reply(400);
            }
            if (!machine.state().equals("up")) {
                upkeeps.remove(name + " " + wave);
                return new Web.Reply(409, Web.JSON.createObjectNode().put("reason", "busy"));
            }
            Executor executor = machine.executor();
            onUpkeep(machine);
            machines.put(name, new Machine(name, machine.cpu(), "upkeep", null));
            executor.end("upkeep");
            store.delete("servers/" + executor.id);
            Thread back =
                    new Thread(
                            () -> {
                                try {
                                    Thread.sleep(MAINT_MS);
                                    addExecutor(name, machine.cpu(), executor.guards);
                                } catch (Exception e) {
                                    e.printStackTrace();
                                }
                            });
            back.setDaemon(true);
            back.start();
            return Web.reply(200);
        }
    }

    /** Returns how late an executor carries out an order to start, in milliseconds; 0 if at once. */
    long lateMs(Executor executor, Web.Call call) {
        return 0;
    }

    /** Carries out an order without an answer, at whatever life of the executor there is then. */
    final void carryOutLate(Executor executor, Web.Call call, long delayMs) {
        String what = call.body().path("task").asText() + " run " + call.body().path("run").asInt();
        record.line(executor.id, "leaves the order to start " + what + " unanswered");
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(delayMs);
                                synchronized (this) {
                                    for (Executor life : executors()) {
                                        if (life.id.equals(executor.id)) {
                                            record.line(life.id, "carries out the order to start " + what + " late");
                                            record.line(life.id, "late answer " + life.answer(call).status());
                                        }
                                    }
                                }
                            } catch (Exception e) {
                                e.printStackTrace();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Called when an executor starts a run. */
    void onStart(Executor executor, Executor.Run run) {}

    /** Called when a run ends on an executor. */
    void onEnd(Executor executor, Executor.Run run, String how) {
        if (run.kind.gang() && !how.equals("done")) {
            for (Executor other : executors()) {
                if (run.beganMs >= 0) {
                    other.breakGang(run.step(), run.run);
                }
            }
        }
    }

    /** Returns the labels of a machine: its kind and its rack. */
    List<String> labels(String machine) {
        return List.of("a", "r1-" + machine);
    }

    /** Called before the upkeep of a machine ends its executor. */
    void onUpkeep(Machine machine) {}

    /** Ends all processes and prints the verdict; exits with it. */
    final void conclude(boolean broken, String verdict) throws Exception {
        record.line("verdict", (broken ? "RULE BROKEN: " : "rule held: ") + verdict);
        System.out.println((broken ? "RULE BROKEN: " : "rule held: ") + verdict);
        close();
        Runtime.getRuntime().halt(broken ? 1 : 0);
    }

    /** Exits as a case that could not run. */
    final void giveUp(String why) throws Exception {
        record.line("verdict", "could not run: " + why);
        System.out.println("could not run: " + why);
        close();
        Runtime.getRuntime().halt(2);
    }

    @Override
    public void close() throws Exception {
        killEntries();
        for (Entry entry : entries) {
            entry.await();
        }
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            for (Entry entry : entries) {
                Files.copy(folder.resolve(entry.name + ".log"), Path.of(keep, entry.name + ".log"),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
        record.close();
    }
}
