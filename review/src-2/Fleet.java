import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;

/** The stand-ins of the executors, and what they have seen. */
final class Fleet {
    static final long MAX_HOLD_MS = 6_000;
    static final long STOP_MS = 100;
    static final long GANG_WAIT_MS = 3_000;
    private static final long FAST_MS = 5;
    private static final long START_NS = System.nanoTime();

    /** An order to start that an executor has carried out. */
    record Start(
            long atMs, String executor, String task, int run, String checkpoint, String spec) {}

    /** The end of a run. */
    record End(long atMs, String executor, String task, int run, String how, String checkpoint) {}

    final Store mStore;
    final List<Executor> mExecutors = new ArrayList<>();
    final List<Start> mStarts = new ArrayList<>();
    final List<End> mEnds = new ArrayList<>();
    private final Map<String, Integer> mSaves = new HashMap<>();
    private final PrintWriter mRecord;

    /** Decides which orders to start are left unanswered; asked with the fleet's lock held. */
    BiPredicate<Executor, Map<String, Object>> mHoldsStart = (executor, body) -> false;

    long mStartDelayMs = 2_000;
    private Http mCloud;

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
                            executor.isUp() ? "up" : "down", "zone", "gimhae", "labels",
                            executor.mLabels, "capacity",
                            Json.object("cpu", Executor.CPU, "mem_mb", Executor.MEMORY_MB));
            machine.put("id", executor.isUp() ? executor.mId : null);
            machines.add(machine);
        }
        return new Http.Response(
                200, Json.write(Json.object("machines", machines, "next_token", null)));
    }

    private void run() {
        while (true) {
            synchronized (this) {
                long nowMs = now();
                for (Executor executor : mExecutors) {
                    if (executor.isUp()) {
                        executor.tick(nowMs);
                    }
                }
                work(nowMs);
            }
            sleep(FAST_MS);
        }
    }

    private static String gangOf(Executor.Run run) {
        boolean gang = run.field("gang") > 0;
        String task = run.task;
        return (gang ? task.substring(0, task.lastIndexOf('.')) : task) + "#" + run.number;
    }

    /** Returns the runs that work together with a run, with their executors. */
    private Map<Executor.Run, Executor> members(Executor.Run run) {
        Map<Executor.Run, Executor> members = new HashMap<>();
        for (Executor executor : mExecutors) {
            for (Executor.Run other : executor.isUp() ? executor.mRuns.values() : List.<Executor.Run>of()) {
                if (gangOf(other).equals(gangOf(run))) {
                    members.put(other, executor);
                }
            }
        }
        return members;
    }

    /** Lets all runs advance. */
    private void work(long nowMs) {
        for (Executor executor : mExecutors) {
            for (Executor.Run run : executor.isUp() ? List.copyOf(executor.mRuns.values()) : List.<Executor.Run>of()) {
                if (executor.mRuns.get(run.task) == run) {
                    work(executor, run, nowMs);
                }
            }
        }
    }

    private void work(Executor executor, Executor.Run run, long nowMs) {
        Map<Executor.Run, Executor> members = members(run);
        if (!run.works()) {
            if (members.size() >= Math.max(1, run.field("gang"))) {
                members.keySet().forEach(member -> member.workingSinceMs = nowMs);
            } else if (nowMs - run.startedMs > GANG_WAIT_MS) {
                end(executor, run, "alone");
            }
            return;
        }
        if (run.field("ms") > 0 && run.workMs(nowMs) >= run.field("ms")) {
            members.forEach((member, at) -> close(at, member, "done"));
            return;
        }
        if (run.field("save") > 0) {
            int count = (int) ((nowMs - run.workingSinceMs) / run.field("save"));
            String gang = gangOf(run);
            if (count > mSaves.getOrDefault(gang, 0)) {
                mSaves.put(gang, count);
                String value = gang.replace('#', '-') + "-" + count;
                members.keySet().forEach(member -> member.checkpoint = value);
                record("saved " + value);
            }
        }
    }

    void started(Executor executor, Executor.Run run) {
        mStarts.add(
                new Start(
                        now(), executor.mId, run.task, run.number, run.checkpoint, run.spec));
        record(
                "started " + run.task + " run=" + run.number + " on " + executor.mId
                        + " checkpoint=" + run.checkpoint);
    }

    /** Ends a run; the other members of its gang end with it. */
    void end(Executor executor, Executor.Run run, String how) {
        Map<Executor.Run, Executor> members = members(run);
        boolean worked = run.works();
        close(executor, run, how);
        members.remove(run);
        if (worked) {
            members.forEach((member, at) -> close(at, member, "broken"));
        }
    }

    private void close(Executor executor, Executor.Run run, String how) {
        executor.close(run, how);
        mEnds.add(new End(now(), executor.mId, run.task, run.number, how, run.checkpoint));
        record(
                "ended " + run.task + " run=" + run.number + " on " + executor.mId + " how=" + how
                        + " saved=" + run.checkpoint);
        notifyAll();
    }

    /** Crashes an executor: its channels are reset, and what it ran is gone. */
    synchronized void crash(Executor executor) {
        record("crash of " + executor.mId);
        List<Executor.Run> runs = List.copyOf(executor.mRuns.values());
        Map<Executor.Run, Executor> others = new HashMap<>();
        runs.stream().filter(Executor.Run::works).forEach(run -> others.putAll(members(run)));
        runs.forEach(others::remove);
        executor.mRuns.clear();
        executor.crash();
        others.forEach((member, at) -> close(at, member, "broken"));
        notifyAll();
        Http.start(
                "removal",
                () -> {
                    sleep(3 * Executor.HEARTBEAT_MS);
                    mStore.delete("servers/" + executor.mId);
                });
    }

    /** Returns the executor of a task's current run, or null. */
    synchronized Executor executorOf(String task) {
        return mExecutors.stream()
                .filter(e -> e.isUp() && e.mRuns.containsKey(task))
                .findFirst()
                .orElse(null);
    }

    synchronized long running(String job) {
        return mExecutors.stream()
                .filter(Executor::isUp)
                .flatMap(e -> e.mRuns.keySet().stream())
                .filter(task -> task.startsWith(job + "."))
                .count();
    }
}
