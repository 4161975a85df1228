import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The stand-ins of the executors, and what they have seen. */
final class Fleet {
    static final long MAX_HOLD_MS = 6_000;
    static final long STOP_MS = 100;
    private static final long FAST_MS = 5;
    private static final long START_NS = System.nanoTime();

    /** An order to start that an executor has carried out. */
    record Start(long atMs, String executor, String task, int run) {}

    /** The end of a run. */
    record End(long atMs, String executor, String task, int run, String how) {}

    final Store mStore;
    final List<Executor> mExecutors = new ArrayList<>();
    final List<Start> mStarts = new ArrayList<>();
    final List<End> mEnds = new ArrayList<>();
    private final PrintWriter mRecord;

    private Http mCloud;
    private Http mHint;

    /** Time of the hint service for a call and for each worker named; tickets are valid for long. */
    static final long DECIDE_MS = 100;

    static final long EACH_MS = 10;
    static final long TICKET_MS = 3_000;

    /** Steps of which only holders of a ticket may start work items, by the id of the job. */
    final Set<String> mTicketed = new HashSet<>();

    private final Map<String, Long> mTickets = new HashMap<>();

    Fleet(Store store, Path record) throws IOException {
        mStore = store;
        mRecord = new PrintWriter(Files.newBufferedWriter(record), true);
        Http.start("fleet", this::run);
    }

    /** Returns milliseconds since the start. */
    static long now() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    synchronized void record(String line) {
        mRecord.printf("%7d %s%n", now(), line);
    }

    synchronized Executor add(String ip, String service, int index) throws Exception {
        Executor executor =
                new Executor(
                        this, ip, "i-" + service + index, "m-" + service + index, service,
                        "r1-" + index / 4);
        mExecutors.add(executor);
        executor.report();
        return executor;
    }

    /** Serves the platform's list of machines. */
    String serveMachines(String ip) throws IOException {
        mCloud = Http.listen(ip, this::handleCloud);
        return mCloud.address();
    }

    private synchronized Http.Response handleCloud(Http.Request request) {
        if (!request.path().equals("/api/machines")) {
            record("order for a machine " + request.path() + " " + request.body());
            return new Http.Response(409, "{\"reason\":\"busy\"}");
        }
        List<Object> machines = new ArrayList<>();
        for (Executor executor : mExecutors) {
            Map<String, Object> machine =
                    Json.object(
                            "machine", executor.mMachine, "pool", executor.mService, "state",
                            "up", "zone", "gimhae", "labels",
                            executor.mLabels, "capacity",
                            Json.object("cpu", Executor.CPU, "mem_mb", Executor.MEMORY_MB));
            machine.put("id", executor.mId);
            machines.add(machine);
        }
        return new Http.Response(
                200, Json.write(Json.object("machines", machines, "next_token", null)));
    }

    /** Serves the hint service, one call at a time; it allows all executors. */
    String serveHint(String ip) throws IOException {
        Object turn = new Object();
        mHint =
                Http.listen(
                        ip,
                        request -> {
                            synchronized (turn) {
                                return advise(request.json());
                            }
                        });
        return mHint.address();
    }

    private Http.Response advise(Map<String, Object> body) {
        String step = Json.text(body, "step");
        @SuppressWarnings("unchecked")
        List<String> workers = (List<String>) body.get("workers");
        sleep(DECIDE_MS + EACH_MS * workers.size());
        List<Object> allowed = new ArrayList<>();
        synchronized (this) {
            for (String worker : workers) {
                String ticket = "t-" + step + "-" + worker;
                mTickets.put(ticket, now() + TICKET_MS);
                allowed.add(List.of(worker, ticket));
            }
            record("advice for " + step + " on " + workers.size() + " executors");
        }
        return new Http.Response(
                200, Json.write(Json.object("allowed", allowed, "valid_ms", TICKET_MS)));
    }

    /** Returns whether a work item of a queue with a hint lacks a valid ticket for an executor. */
    boolean lacksTicket(String task, String executor, String ticket) {
        String step = task.substring(0, task.lastIndexOf('.'));
        boolean valid =
                ticket.equals("t-" + step + "-" + executor)
                        && mTickets.getOrDefault(ticket, 0L) >= now();
        return mTicketed.contains(task.substring(0, task.indexOf('.'))) && !valid;
    }

    private void run() {
        while (true) {
            synchronized (this) {
                long nowMs = now();
                for (Executor executor : mExecutors) {
                    executor.tick(nowMs);
                }
                work(nowMs);
            }
            sleep(FAST_MS);
        }
    }

    /** Lets all runs advance. */
    private void work(long nowMs) {
        for (Executor executor : mExecutors) {
            for (Executor.Run run : List.copyOf(executor.mRuns.values())) {
                work(executor, run, nowMs);
            }
        }
    }

    private void work(Executor executor, Executor.Run run, long nowMs) {
        if (!run.works()) {
            run.workingSinceMs = nowMs;
        } else if (run.field("ms") > 0 && run.workMs(nowMs) >= run.field("ms")) {
            end(executor, run, "done");
        }
    }

    void started(Executor executor, Executor.Run run) {
        mStarts.add(new Start(now(), executor.mId, run.task, run.number));
        record("started " + run.task + " run=" + run.number + " on " + executor.mId);
    }

    void end(Executor executor, Executor.Run run, String how) {
        executor.close(run, how);
        mEnds.add(new End(now(), executor.mId, run.task, run.number, how));
        record("ended " + run.task + " run=" + run.number + " on " + executor.mId + " how=" + how);
        notifyAll();
    }

    synchronized long running(String job) {
        return mExecutors.stream()
                .flatMap(e -> e.mRuns.keySet().stream())
                .filter(task -> task.startsWith(job + "."))
                .count();
    }
}
