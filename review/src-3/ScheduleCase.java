import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Two scheduled submissions, with a time each second of a day that has passed, beside lasting work. */
final class ScheduleCase extends Site {
    /** Start of the ids of the scheduled submissions, and their number. */
    private static final String SCHEDULED = "77aa7a21d94b36f";
    private static final int SCHEDULES = 2;
    private static final String LASTING = "5c0e7a21d94b36f8";
    private static final String KEY = "key-cugo130";
    private static final String OTHER_KEY = "key-dabo220";
    private static final int EXECUTORS = 8;
    private static final int REPEATS = 86_400;
    private static final long INTERVAL_MS = 1_000;
    private static final int MAX_UNAVAILABLE = 1;
    private static final long WATCHED_MS = 45_000;

    /** When each lasting work item lapsed while it was at work; without those at work again. */
    private final Map<String, Long> lapsedMs = new HashMap<>();

    private volatile String broken = "";
    private int lapses;
    private int times;

    ScheduleCase(Path recordFile) throws Exception {
        super(recordFile);
    }

    public static void main(String[] args) throws Exception {
        new ScheduleCase(Path.of(args[0])).play();
    }

    /** Returns the kind of a work item; the steps of the scheduled submission are too many for a table. */
    @Override
    Task kindOf(String task) {
        return task.startsWith(SCHEDULED) ? new Task(1, 100, 300, false, false) : super.kindOf(task);
    }

    @Override
    void run() throws Exception {
        for (int i = 1; i <= EXECUTORS; i++) {
            addExecutor("m-" + i, 16_000, true);
        }
        configure(true, false, Map.of("cugo130", 0, "dabo220", 0));
        startEntries(3);
        define(LASTING, new Task(EXECUTORS, 4_000, 0, true, false));
        int status =
                caller.submit(
                        LASTING,
                        KEY,
                        "{\"spec\":\"log\",\"phases\":[{\"count\":" + EXECUTORS + ",\"cpu\":4000,\"mem_mb\":256,\"est_ms\":1000"
                                + ",\"service_job\":true,\"max_per_server\":1,\"max_unavailable\":" + MAX_UNAVAILABLE + "}]}",
                        10_000);
        if (status != 200) {
            giveUp("the submission that lasts was not accepted: " + status);
        }
        Thread.sleep(3_000);
        long startMs = System.currentTimeMillis() - REPEATS * INTERVAL_MS;
        String body =
                "{\"spec\":\"watch\",\"repeats\":" + REPEATS + ",\"start_ms\":" + startMs + ",\"interval_ms\":" + INTERVAL_MS
                        + ",\"phases\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"est_ms\":300}]}";
        for (int i = 0; TROUBLE && i < SCHEDULES; i++) {
            record.line("caller", "scheduled submission " + i + " -> " + caller.submit(SCHEDULED + i, OTHER_KEY, body, 10_000));
        }
        long untilMs = nowMs() + WATCHED_MS;
        while (nowMs() < untilMs) {
            Thread.sleep(10);
            synchronized (this) {
                executors().forEach(e -> e.running.values().stream().filter(e::isAtWork).forEach(r -> lapsedMs.remove(r.task)));
            }
        }
        caller.state(LASTING, KEY);
        conclude(
                !broken.isEmpty(),
                (broken.isEmpty() ? "" : broken + "; ") + lapses + " lapses of lasting work items in " + WATCHED_MS + " ms; " + times
                        + " times of the scheduled submissions have started");
    }

    @Override
    void onStart(Executor executor, Executor.Run run) {
        times += run.task.startsWith(SCHEDULED) ? 1 : 0;
    }

    @Override
    void onEnd(Executor executor, Executor.Run run, String how) {
        super.onEnd(executor, run, how);
        if (!run.task.startsWith(LASTING) || !how.equals("lapsed") || run.workedMs(nowMs()) < Executor.STARTUP_MS) {
            return;
        }
        lapses++;
        int away = lapsedMs.size();
        if (away >= MAX_UNAVAILABLE && broken.isEmpty()) {
            broken = "the lease of " + run.task + " at work lapsed while " + away + " others of its step were away by lapses";
            record.line("check", broken);
        }
        lapsedMs.put(run.task, nowMs());
    }
}
