import java.nio.file.Path;
import java.util.Map;

/** A gang with checkpoints goes on after an executor of one of its members has crashed. */
final class GangCase extends Site {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int EXECUTORS = 8;
    private static final long WORK_MS = 9_000;
    private static final long STABLE_MS = 3_000;

    private volatile long crashEndMs = Long.MAX_VALUE;
    private volatile int done;
    private volatile int alone;

    GangCase(Path recordFile) throws Exception {
        super(recordFile);
        checkpoints = true;
    }

    public static void main(String[] args) throws Exception {
        new GangCase(Path.of(args[0])).play();
    }

    @Override
    void run() throws Exception {
        for (int i = 1; i <= EXECUTORS; i++) {
            addExecutor("m-" + i, 4_000, true);
        }
        configure(true, false, Map.of("cugo130", 0));
        startEntries(3);
        define(JOB, new Task(4, 2000, WORK_MS, false, true));
        int status =
                caller.submit(
                        JOB,
                        "key-cugo130",
                        "{\"spec\":\"ledger\",\"phases\":[{\"count\":4,\"cpu\":2000,\"mem_mb\":256,\"est_ms\":"
                                + WORK_MS
                                + ",\"checkpoint\":true,\"gang\":true}]}",
                        10_000);
        if (status != 200) {
            giveUp("the submission was not accepted: " + status);
        }
        Thread.sleep(4_300);
        Executor victim = executors().stream().filter(e -> !e.running.isEmpty()).findFirst().orElse(null);
        if (victim == null) {
            giveUp("no member runs");
        }
        if (TROUBLE) {
            crash(victim);
        }
        crashEndMs = nowMs();
        for (int i = 0; i < 40 && done < 4; i++) {
            Thread.sleep(1_000);
        }
        String state = caller.state(JOB, "key-cugo130");
        conclude(
                alone > 0,
                alone
                        + " runs ended alone that began more than "
                        + STABLE_MS
                        + " ms after the crash was over; "
                        + done
                        + " members of 4 are done after "
                        + (nowMs() - crashEndMs)
                        + " ms, the submission is shown as "
                        + state);
    }

    /** Ends an executor and all that it runs; a new life comes after a second. */
    private void crash(Executor victim) throws Exception {
        victim.end("crash");
        synchronized (this) {
            for (Executor other : executors()) {
                other.breakGang(JOB + ".0.0", 1);
            }
        }
        Thread.sleep(1_000);
        addExecutor(victim.machine, victim.cpu, true);
    }

    @Override
    void onEnd(Executor executor, Executor.Run run, String how) {
        super.onEnd(executor, run, how);
        if (how.equals("done")) {
            done++;
        } else if (how.equals("alone") && run.startedMs > crashEndMs + STABLE_MS) {
            alone++;
        }
    }
}
