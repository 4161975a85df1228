import java.nio.file.Path;
import java.util.Map;

/** A tenant's limit while an executor is cut off and the owner is restarted in a planned way. */
final class QuotaCase extends Site {
    private static final String FIRST = "5c0e7a21d94b36f8";
    private static final String SECOND = "77aa7a21d94b36f8";
    private static final String KEY = "key-cugo130";
    private static final int EXECUTORS = 6;
    private static final int CAP = 16_000;
    private static final int EACH = 2_000;
    private static final double OVERRUN = 0.1;
    private static final long CUT_MS = 5_000;

    private String broken = "";
    private int most;

    QuotaCase(Path recordFile) throws Exception {
        super(recordFile);
    }

    public static void main(String[] args) throws Exception {
        new QuotaCase(Path.of(args[0])).play();
    }

    private static String job(int count, long ms) {
        return "{\"spec\":\"quota\",\"phases\":[{\"count\":" + count + ",\"cpu\":" + EACH + ",\"mem_mb\":256,\"est_ms\":" + ms + "}]}";
    }

    @Override
    void run() throws Exception {
        for (int i = 1; i <= EXECUTORS; i++) {
            addExecutor("m-" + i, 16_000, true);
        }
        configure(true, false, Map.of("cugo130", CAP));
        startEntries(3);
        define(FIRST, new Task(8, EACH, 14_000, false, false));
        define(SECOND, new Task(8, EACH, 4_000, false, false));
        if (caller.submit(FIRST, KEY, job(8, 14_000), 10_000) != 200) {
            giveUp("the first submission was not accepted");
        }
        Thread.sleep(2_000);
        Executor busy = executors().stream().filter(e -> !e.running.isEmpty()).findFirst().orElse(null);
        if (busy == null) {
            giveUp("nothing runs");
        }
        Entry owner = owner();
        if (TROUBLE) {
            busy.cut(true);
        }
        long cutMs = nowMs();
        Thread.sleep(300);
        owner.terminate(this);
        Thread second = new Thread(() -> {
            try {
                caller.submit(SECOND, KEY, job(8, 4_000), 10_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        Thread.sleep(300);
        second.start();
        Thread.sleep(Math.max(0, CUT_MS - (nowMs() - cutMs)));
        if (TROUBLE) {
            busy.cut(false);
        }
        owner.await();
        owner.start(this);
        Thread.sleep(22_000);
        caller.state(FIRST, KEY);
        caller.state(SECOND, KEY);
        conclude(!broken.isEmpty(), broken.isEmpty() ? "at most " + most + " of cap " + CAP + " ran" : broken);
    }

    @Override
    void onStart(Executor executor, Executor.Run run) {
        int used = executors().stream().mapToInt(Executor::usedCpu).sum();
        most = Math.max(most, used);
        if (used > CAP * (1 + OVERRUN) + EACH) {
            broken = "a start brought what the tenant had running to " + used + " of cpu, cap " + CAP + ", allowed "
                    + (CAP * (1 + OVERRUN) + EACH);
            record.line("check", broken);
        }
    }
}
