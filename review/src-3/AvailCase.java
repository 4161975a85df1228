import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Upkeep of a machine whose executor has crashed and come back under a new id shortly before. */
final class AvailCase extends Site {
    private static final String BASE = "5c0e7a21d94b36f8";
    private static final String SERVICE_JOB = "77aa7a21d94b36f8";
    private static final String KEY = "key-cugo130";
    private static final int MAX_UNAVAILABLE = 1;
    private static final int EXECUTORS = 8;

    private final StringBuilder broken = new StringBuilder();
    private volatile boolean upkeepSeen;

    AvailCase(Path recordFile) throws Exception {
        super(recordFile);
    }

    public static void main(String[] args) throws Exception {
        new AvailCase(Path.of(args[0])).play();
    }

    private static String lasting(int count, int cpu, int maxPerServer) {
        return "{\"spec\":\"watch\",\"phases\":[{\"count\":" + count + ",\"cpu\":" + cpu
                + ",\"mem_mb\":256,\"est_ms\":1000,\"service_job\":true,\"max_per_server\":" + maxPerServer
                + ",\"max_unavailable\":" + MAX_UNAVAILABLE + "}]}";
    }

    @Override
    void run() throws Exception {
        for (int i = 1; i <= EXECUTORS; i++) {
            addExecutor("m-" + i, 16_000, true);
        }
        configure(true, false, Map.of("cugo130", 0));
        startEntries(3);
        // All machines but one get a large work item each.
        define(BASE, new Task(EXECUTORS - 1, 12_000, 0, true, false));
        if (caller.submit(BASE, KEY, lasting(EXECUTORS - 1, 12_000, 1), 10_000) != 200) {
            giveUp("the first submission was not accepted");
        }
        Thread.sleep(1_500);
        long readMs = cloud.lastListMs;
        for (int i = 0; i < 150 && cloud.lastListMs == readMs; i++) {
            Thread.sleep(100);
        }
        Executor idle = executors().stream().filter(e -> e.running.isEmpty()).findFirst().orElse(null);
        if (idle == null) {
            giveUp("no machine is empty");
        }
        String name = idle.machine;
        if (TROUBLE) {
            idle.end("crash");
            Thread.sleep(1_000);
            addExecutor(name, 16_000, true);
        } else {
            Thread.sleep(1_000);
        }
        Thread.sleep(500);
        // The two work items of the step fit on the empty machine alone.
        define(SERVICE_JOB, new Task(2, 7_000, 0, true, false));
        if (caller.submit(SERVICE_JOB, KEY, lasting(2, 7_000, 2), 10_000) != 200) {
            giveUp("the second submission was not accepted");
        }
        Thread.sleep(1_500);
        if (machines.get(name).executor().running.size() != 2) {
            giveUp("the second submission does not run on " + name);
        }
        caller.call(entries.get(0), "DELETE", PREFIX + BASE, KEY, "");
        Thread.sleep(1_000);
        store.put(
                "op/wave/1",
                Web.JSON.readTree("{\"wave\":1,\"machines\":[\"" + name + "\"],\"within_s\":20,\"cap\":1}"));
        record.line("operator", "wave 1 of " + name);
        for (int i = 0; i < 200 && !upkeepSeen; i++) {
            Thread.sleep(100);
        }
        Thread.sleep(4_000);
        record.line("operator", "status of the wave: " + store.get("status/wave/1"));
        if (!upkeepSeen) {
            giveUp("no upkeep was ordered");
        }
        conclude(broken.length() > 0, broken.length() == 0 ? "the upkeep ended no work item beyond max_unavailable" : broken.toString());
    }

    @Override
    void onUpkeep(Machine machine) {
        upkeepSeen = true;
        Executor executor = machine.executor();
        List<Executor.Run> atWork =
                executor.running.values().stream()
                        .filter(r -> r.task.startsWith(SERVICE_JOB) && executor.isAtWork(r))
                        .toList();
        int elsewhere = 0;
        for (Executor other : executors()) {
            if (other != executor) {
                elsewhere += other.running.values().stream().filter(r -> r.task.startsWith(SERVICE_JOB) && other.isAtWork(r)).count();
            }
        }
        record.line("check", "at work on the machine " + atWork.size() + ", elsewhere " + elsewhere);
        // The k-th work item that the upkeep ends goes while k - 1 others of its step are away by it.
        int away = 2 - elsewhere - atWork.size();
        for (int k = 1; k <= atWork.size(); k++) {
            if (away + k - 1 >= MAX_UNAVAILABLE) {
                broken.append("the upkeep of " + machine.name() + " ended " + atWork.get(k - 1).task + " at work while " + (away + k - 1)
                        + " other of its step were away (max_unavailable " + MAX_UNAVAILABLE + "); ");
            }
        }
    }
}
