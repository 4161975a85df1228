import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Executors without a guard while submissions are cancelled and the owner is stopped in a planned way. */
final class LimitCase extends Site {
    /** Submissions that run at first and are cancelled: a third of all. */
    private static final int JOBS = 8;

    /** Submissions that wait for room. */
    private static final int WAITING = 16;

    private static final String KEY = "key-cugo130";
    private static final int CAPACITY = 16_000;
    private static final int EACH = 4_000;

    /** Time between two cancellations, in milliseconds. */
    private static final long CANCEL_GAP_MS = 50;

    private volatile String broken = "";

    LimitCase(Path recordFile) throws Exception {
        super(recordFile);
        killMs = 350;
    }

    public static void main(String[] args) throws Exception {
        new LimitCase(Path.of(args[0])).play();
    }

    private static String job(int count, long ms) {
        return "{\"spec\":\"limit\",\"phases\":[{\"count\":" + count + ",\"cpu\":" + EACH + ",\"mem_mb\":256,\"est_ms\":" + ms + "}]}";
    }

    private static String id(int number) {
        return "5c0e7a21d94b36f" + number;
    }

    private static String nextId(int number) {
        return String.format("77aa7a21d94b36%02x", number);
    }

    @Override
    void run() throws Exception {
        addExecutor("m-1", CAPACITY, false);
        addExecutor("m-2", CAPACITY, false);
        configure(false, false, Map.of("cugo130", 0));
        startEntries(3);
        for (int i = 0; i < JOBS; i++) {
            define(id(i), new Task(1, EACH, 20_000, false, false));
            if (caller.submit(id(i), KEY, job(1, 20_000), 10_000) != 200) {
                giveUp("a submission was not accepted");
            }
        }
        for (int i = 0; i < WAITING; i++) {
            define(nextId(i), new Task(1, EACH, 3_000, false, false));
            if (caller.submit(nextId(i), KEY, job(1, 3_000), 10_000) != 200) {
                giveUp("a waiting submission was not accepted");
            }
        }
        Thread.sleep(1_500);
        if (TROUBLE) {
            owner().terminate(this);
        }
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            int number = i;
            Thread thread = new Thread(() -> cancel(id(number)));
            callers.add(thread);
            thread.start();
            Thread.sleep(CANCEL_GAP_MS);
        }
        for (Thread thread : callers) {
            thread.join();
        }
        Thread.sleep(12_000);
        for (int i = 0; i < WAITING; i++) {
            caller.state(nextId(i), KEY);
        }
        conclude(!broken.isEmpty(), broken.isEmpty() ? "no executor was over its capacity" : broken);
    }

    /** Cancels a submission with retries at the entries in turn. */
    private void cancel(String id) {
        int status = 0;
        for (int i = 0; i < 60 && status != 200 && status != 410; i++) {
            Entry entry = entries.get(i % entries.size());
            if (entry.isAlive()) {
                status = caller.call(entry, "DELETE", PREFIX + id, KEY, "").status();
            }
            try {
                Thread.sleep(CANCEL_GAP_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    void onStart(Executor executor, Executor.Run run) {
        if (executor.usedCpu() > CAPACITY) {
            broken = "the start of " + run.task + " brought " + executor.id + " to " + executor.usedCpu() + " of cpu, capacity " + CAPACITY;
            record.line("check", broken);
        }
    }
}
