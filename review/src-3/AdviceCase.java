import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A few submissions that can never be done, on a queue with advice of the policy service. */
final class AdviceCase extends Site {
    private static final String KEY = "key-cugo130";
    private static final int EXECUTORS = 4;
    private static final int CPU = 1_000;
    private static final long WORK_MS = 300;

    /** Time between two submissions, and how long they come, in milliseconds. */
    private static final long GAP_MS = 200;
    private static final long TRAFFIC_MS = 70_000;

    /** Every twentieth submission can never be done: it requires a label that no executor has. */
    private static final int HOPELESS_EVERY = 20;

    /** When submissions are looked at after the end of the traffic, and the time that the rule allows. */
    private static final long FINISH_MS = 14_000;
    private static final long LOST_MS = 3_000;

    private final Set<String> started = ConcurrentHashMap.newKeySet();
    private final Set<String> accepted = ConcurrentHashMap.newKeySet();

    AdviceCase(Path recordFile) throws Exception {
        super(recordFile);
    }

    public static void main(String[] args) throws Exception {
        new AdviceCase(Path.of(args[0])).play();
    }

    private static String job(String requires) {
        return "{\"spec\":\"x\",\"phases\":[{\"count\":1,\"cpu\":" + CPU + ",\"mem_mb\":256,\"est_ms\":" + WORK_MS + requires + "}]}";
    }

    @Override
    void run() throws Exception {
        for (int i = 1; i <= EXECUTORS; i++) {
            addExecutor("m-" + i, 16_000, true);
        }
        configure(true, true, Map.of("cugo130", 0));
        startEntries(3);
        List<Thread> callers = new ArrayList<>();
        long startMs = nowMs();
        for (int i = 1; nowMs() - startMs < TRAFFIC_MS; i++) {
            boolean hopeless = TROUBLE && i % HOPELESS_EVERY == 0;
            String id = String.format("%s%012x", hopeless ? "dead" : "beef", i);
            define(id, new Task(1, CPU, WORK_MS, false, false));
            Thread thread = new Thread(() -> submit(id, hopeless));
            callers.add(thread);
            thread.start();
            Thread.sleep(GAP_MS);
        }
        long endMs = nowMs();
        for (Thread thread : callers) {
            thread.join();
        }
        Thread.sleep(Math.max(0, endMs + FINISH_MS - nowMs()));
        List<String> waiting = waiting();
        int used = executors().stream().mapToInt(Executor::usedCpu).sum();
        Thread.sleep(LOST_MS);
        List<String> lost = waiting();
        lost.retainAll(waiting);
        String state = lost.isEmpty() ? "-" : caller.state(lost.get(0), KEY);
        conclude(
                !lost.isEmpty(),
                lost.size() + " of " + accepted.size() + " accepted submissions that can be done have nothing running for 3 s, "
                        + FINISH_MS + " ms after the end of the traffic, with " + used + " of " + EXECUTORS * 16_000
                        + " of cpu in use; the first is shown as " + state);
    }

    private void submit(String id, boolean hopeless) {
        try {
            int status = caller.submit(id, KEY, job(hopeless ? ",\"requires\":\"b\"" : ""), 3_000);
            if (status == 200 && !hopeless) {
                accepted.add(id);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private List<String> waiting() {
        List<String> waiting = new ArrayList<>(accepted);
        waiting.removeIf(started::contains);
        waiting.sort(null);
        return waiting;
    }

    @Override
    void onStart(Executor executor, Executor.Run run) {
        started.add(run.task.substring(0, 16));
    }
}
