import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in of an executor. The text of a submission tells it what to run: {@code cpu=} in
 * thousandths of a core, and {@code ms=} of work (0 for work without an end).
 */
final class Executor {
    static final int CPU = 64_000;
    static final int MEMORY_MB = 131_072;
    static final long HEARTBEAT_MS = 1_500;
    private static final int STARTED_WORK_MS = 1;

    /** One run. */
    static final class Run {
        String task;
        int number;
        String spec;
        long workingSinceMs;
        long stopAtMs = Long.MAX_VALUE;

        int field(String name) {
            for (String word : spec.split(" ")) {
                if (word.startsWith(name + "=")) {
                    return Integer.parseInt(word.substring(name.length() + 1));
                }
            }
            return 0;
        }

        boolean works() {
            return workingSinceMs != 0;
        }

        long workMs(long nowMs) {
            return works() ? nowMs - workingSinceMs : 0;
        }
    }

    private final Fleet mFleet;
    final String mId;
    final String mMachine;
    final String mService;
    final List<String> mLabels;
    private final Http mHttp;
    private final long mBornMs = System.currentTimeMillis();
    private final long mStartMs = Fleet.now() - 1_000;
    final Map<String, Run> mRuns = new LinkedHashMap<>();
    private final Map<String, Integer> mClosed = new HashMap<>();
    private final List<List<Object>> mEnds = new ArrayList<>();
    private long mLastEnd;
    private long mFence;
    private long mDeadlineMs;
    private long mSequence;
    private long mReportDueMs;

    Executor(Fleet fleet, String ip, String id, String machine, String service, String rack)
            throws Exception {
        mFleet = fleet;
        mId = id;
        mMachine = machine;
        mService = service;
        mLabels = List.of("a", rack);
        mHttp = Http.listen(ip, this::handle);
    }

    String address() {
        return mHttp.address();
    }

    private long clock() {
        return Fleet.now() - mStartMs;
    }

    private Http.Response handle(Http.Request request) throws Exception {
        synchronized (mFleet) {
            String expected = request.headers().get("expect-executor");
            if (expected != null && !expected.equals(mId)) {
                return answer(421, Json.object());
            }
            return carryOut(request);
        }
    }

    private Http.Response carryOut(Http.Request request) throws Exception {
        Map<String, Object> body = request.json();
        if (request.path().equals("/healthz")) {
            return answer(200, Json.object());
        }
        if (fenced(body)) {
            return conflict("fence");
        }
        switch (request.path()) {
            case "/api/run-start":
                return start(body);
            case "/api/run-stop":
                return stop(body);
            case "/api/hold":
                return hold(body);
            case "/api/pace":
                return answer(200, Json.object());
            default:
                return answer(404, Json.object());
        }
    }

    private boolean fenced(Map<String, Object> body) {
        long fence = Json.number(body, "fence");
        if (fence < mFence) {
            return true;
        }
        mFence = fence;
        return false;
    }

    private Http.Response conflict(String reason) {
        return answer(409, Json.object("reason", reason));
    }

    private Http.Response answer(int status, Map<String, Object> body) {
        Map<String, Object> all = new LinkedHashMap<>(body);
        all.put("clock_ms", clock());
        return new Http.Response(status, Json.write(all));
    }

    private void extend(long deadlineMs) {
        mDeadlineMs = Math.max(mDeadlineMs, Math.min(deadlineMs, clock() + Fleet.MAX_HOLD_MS));
    }

    private Http.Response start(Map<String, Object> body) {
        String task = Json.text(body, "task");
        int number = (int) Json.number(body, "run");
        if (Json.number(body, "deadline_ms") <= clock()) {
            return conflict("late");
        }
        extend(Json.number(body, "deadline_ms"));
        Run there = mRuns.get(task);
        if (there != null && there.number == number) {
            return answer(200, Json.object());
        }
        if (there != null || number <= mClosed.getOrDefault(task, 0)) {
            return conflict("old");
        }
        if (mFleet.lacksTicket(task, mId, Json.text(body, "ticket"))) {
            return conflict("ticket");
        }
        Run run = new Run();
        run.task = task;
        run.number = number;
        run.spec = Json.text(body, "spec");
        long used = mRuns.values().stream().mapToLong(r -> r.field("cpu")).sum();
        if (used + run.field("cpu") > CPU) {
            return conflict("room");
        }
        mRuns.put(task, run);
        mFleet.started(this, run);
        return answer(200, Json.object());
    }

    private Http.Response stop(Map<String, Object> body) {
        String task = Json.text(body, "task");
        int number = (int) Json.number(body, "run");
        mClosed.merge(task, number, Math::max);
        Run run = mRuns.get(task);
        boolean found = run != null && run.number <= number;
        mFleet.record("stop " + task + " run=" + number + " on " + mId + " there=" + found);
        if (found) {
            run.stopAtMs = Math.min(run.stopAtMs, Fleet.now() + Fleet.STOP_MS);
        }
        return answer(200, Json.object());
    }

    private Http.Response hold(Map<String, Object> body) throws InterruptedException {
        extend(Json.number(body, "deadline_ms"));
        long seen = Json.number(body, "seen_upto");
        mEnds.removeIf(end -> (long) end.get(0) <= seen);
        long untilMs = Fleet.now() + Math.min(2_000, Json.number(body, "wait_ms"));
        while (mEnds.isEmpty() && Fleet.now() < untilMs) {
            mFleet.wait(untilMs - Fleet.now());
        }
        List<Object> running = new ArrayList<>();
        for (Run run : mRuns.values()) {
            running.add(List.of(run.task, run.number, "", percent(run), load(run)));
        }
        List<Object> finished = new ArrayList<>(mEnds.subList(0, Math.min(500, mEnds.size())));
        return answer(
                200, Json.object("running", running, "finished", finished, "born", mBornMs));
    }

    private static long percent(Run run) {
        long workMs = run.workMs(Fleet.now());
        if (run.field("ms") == 0) {
            return workMs >= STARTED_WORK_MS ? 100 : 0;
        }
        return Math.min(99, workMs * 100 / run.field("ms"));
    }

    private static long load(Run run) {
        return run.works() ? run.field("cpu") : 0;
    }

    /** Ends runs whose time has come, and reports to the store. */
    void tick(long nowMs) {
        for (Run run : List.copyOf(mRuns.values())) {
            if (clock() > mDeadlineMs) {
                mFleet.end(this, run, "lapsed");
            } else if (nowMs >= run.stopAtMs) {
                mFleet.end(this, run, "stopped");
            }
        }
        if (nowMs >= mReportDueMs) {
            report();
        }
    }

    void report() {
        mReportDueMs = Fleet.now() + HEARTBEAT_MS;
        mSequence++;
        Map<String, Object> report =
                Json.object(
                        "service", mService, "addr", address(), "zone", "gimhae", "version", "v1",
                        "slots", 8, "state", "ready", "cold_left_ms", 0,
                        "capacity", Json.object("cpu", CPU, "mem_mb", MEMORY_MB, "gpu", 0),
                        "labels", mLabels, "machine", mMachine, "clock_ms", clock(), "born",
                        mBornMs, "seq", mSequence);
        mFleet.mStore.write("servers/" + mId, report);
    }

    /** Removes a run and lists its end. */
    void close(Run run, String how) {
        mRuns.remove(run.task);
        mClosed.merge(run.task, run.number, Math::max);
        mEnds.add(List.of(++mLastEnd, run.task, run.number, how, ""));
    }
}
