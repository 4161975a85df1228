import java.nio.file.Path;
import java.util.Map;

/** An order to start that is carried out late, by the next life of an executor that has crashed. */
final class LateCase extends Site {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String KEY = "key-cugo130";
    private static final int EXECUTORS = 8;
    private static final int COUNT = 24;
    private static final long WORK_MS = 20_000;

    /** The order that is left unanswered, by its place among the orders to start. */
    private static final int HELD = 20;

    private static final long LATE_MS = 6_000;
    private static final long CRASH_MS = 2_000;

    private int orders;
    private volatile Executor late;
    private volatile String broken = "";

    LateCase(Path recordFile) throws Exception {
        super(recordFile);
    }

    public static void main(String[] args) throws Exception {
        new LateCase(Path.of(args[0])).play();
    }

    @Override
    void run() throws Exception {
        for (int i = 1; i <= EXECUTORS; i++) {
            addExecutor("m-" + i, 16_000, true);
        }
        configure(true, false, Map.of("cugo130", 0));
        startEntries(3);
        define(JOB, new Task(COUNT, 4_000, WORK_MS, false, false));
        int status =
                caller.submit(
                        JOB,
                        KEY,
                        "{\"spec\":\"ledger\",\"phases\":[{\"count\":" + COUNT + ",\"cpu\":4000,\"mem_mb\":256,\"est_ms\":" + WORK_MS + "}]}",
                        10_000);
        if (status != 200) {
            giveUp("the submission was not accepted: " + status);
        }
        Thread.sleep(1_500);
        if (TROUBLE) {
            if (late == null) {
                giveUp("no order was left unanswered");
            }
            synchronized (this) {
                machines.put(late.machine, new Machine(late.machine, late.cpu, "down", null));
                late.end("crash");
            }
            Thread.sleep(CRASH_MS);
            addExecutor(late.id, late.machine, late.cpu, true);
        }
        Thread.sleep(40_000);
        caller.state(JOB, KEY);
        conclude(!broken.isEmpty(), broken.isEmpty() ? "no work item ran twice" : broken);
    }

    @Override
    long lateMs(Executor executor, Web.Call call) {
        orders++;
        if (!TROUBLE || orders != HELD) {
            return 0;
        }
        late = executor;
        return LATE_MS;
    }

    @Override
    void onStart(Executor executor, Executor.Run run) {
        for (Executor other : executors()) {
            Executor.Run present = other.running.get(run.task);
            if (other != executor && present != null) {
                broken = run.task + " runs on " + executor.id + " as run " + run.run + " and on " + other.id + " as run " + present.run
                        + " at the same time";
                record.line("check", broken);
            }
        }
    }
}
