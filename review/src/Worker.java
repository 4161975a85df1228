import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in of an executor. A run works for the time that its spec names ({@code ms=500}) and then
 * ends as done; one that is told to stop ends within the time that the platform's bounds allow.
 */
final class Worker {
    static final int CPU = 64_000;
    static final int MEM_MB = 131_072;
    private static final int MAX_LISTED_ENDS = 500;
    private static final long MAX_HOLD_MS = 10_000;
    private static final long CLOCK_START_MS = 50_000;
    private static final long PING_MS = 1_500;

    /** One start of a work item. */
    static final class Run {
        final String mTask;
        final int mNumber;
        final long mFence;
        final long mStartMs;
        final long mWorkMs;
        final int mCpu;
        final String mExecutor;
        long mStopAtMs = Long.MAX_VALUE;
        long mEndMs = -1;
        String mHow = "";
        long mEndNumber;
        boolean mNoted;
        /** Whether the executor's lease lapsed between the end and when it was taken note of. */
        boolean mLapsedSince;
        long mNotedMs = -1;

        Run(String task, int number, long fence, long startMs, long workMs, int cpu,
                String executor) {
            mTask = task;
            mNumber = number;
            mFence = fence;
            mStartMs = startMs;
            mWorkMs = workMs;
            mCpu = cpu;
            mExecutor = executor;
        }
    }

    /** What a work item asks for; the executor's page does not say how it learns of it. */
    interface Demand {
        int cpu(String task);
    }

    final String mId;
    final String mMachine;
    private final String mIp;
    private final int mPort;
    private final String mService;
    private final Store mStore;
    private final Record mRecord;
    private final Demand mDemand;
    final int mStopMs;
    private final Map<String, Integer> mLifeByConnection = new HashMap<>();
    private int mLife = 1;
    private boolean mDark;
    private boolean mLeft;
    private long mBornMs = System.currentTimeMillis();
    private long mBornAtMs;
    private final Map<String, Run> mRunning = new HashMap<>();
    private final List<Run> mEnds = new ArrayList<>();
    private final Map<String, Integer> mClosed = new HashMap<>();
    private final List<Run> mAll;
    private long mLastEnd;
    private long mSeq;
    private long mLastLongPollMs;
    private long mFence;
    private long mDeadlineMs;
    private String mState = "ready";

    /**
     * Starts an executor and registers it.
     *
     * @param stopMs how long a stop takes
     * @param all receives each start of a work item
     */
    Worker(String ip, int port, String id, String machine, String service, Store store,
            Record record, Demand demand, int stopMs, List<Run> all) throws IOException {
        mIp = ip;
        mPort = port;
        mId = id;
        mMachine = machine;
        mService = service;
        mStore = store;
        mRecord = record;
        mDemand = demand;
        mStopMs = stopMs;
        mAll = all;
        mBornAtMs = record.nowMs();
        Http.listen(ip, port, this::handle);
        Thread clock = new Thread(this::work);
        clock.setDaemon(true);
        clock.start();
        register();
        Thread pings = new Thread(this::ping);
        pings.setDaemon(true);
        pings.start();
    }

    /** Writes the registration again at each interval, unless the store is down or this is off. */
    private void ping() {
        try {
            while (true) {
                Thread.sleep(PING_MS);
                mStore.awaitWrite();
                synchronized (this) {
                    if (mDark || mLeft || !mStore.isServing()) {
                        continue;
                    }
                }
                register();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void register() {
        if (mDark || mLeft) {
            return;
        }
        ObjectNode entry = Http.object();
        entry.put("service", mService).put("addr", mIp + ":" + mPort).put("zone", "z-a")
                .put("version", "1").put("slots", 8).put("state", mState).put("cold_left_ms", 0)
                .put("seq", ++mSeq).put("machine", mMachine).put("born", mBornMs);
        entry.putObject("capacity").put("cpu", CPU).put("mem_mb", MEM_MB).put("gpu", 0);
        entry.putArray("labels").add("a").add("r1-" + mMachine);
        mStore.put("servers/" + mId, entry);
    }

    ObjectNode describe() {
        ObjectNode node = Http.object();
        node.put("machine", mMachine).put("pool", mService)
                .put("state", mLeft ? "upkeep" : "up").put("zone", "z-a")
                .put("id", mLeft ? "" : mId);
        node.putArray("labels").add("a").add("r1-" + mMachine);
        node.putObject("capacity").put("cpu", CPU).put("mem_mb", MEM_MB).put("gpu", 0);
        return node;
    }

    synchronized boolean isUp() {
        return !mLeft;
    }

    /** Ends for good: everything that runs ends, and the registration is removed. */
    synchronized void leave() {
        mRecord.line("executor " + mId + " leaves");
        mLeft = true;
        endAll();
        mStore.remove("servers/" + mId);
    }

    /** Loses power: everything that runs ends, and what arrives is neither read nor answered. */
    synchronized void losePower() {
        mRecord.say("executor " + mId + " loses power");
        endAll();
    }

    private void endAll() {
        mDark = true;
        for (Run run : mRunning.values()) {
            run.mHow = "lost";
            run.mEndMs = mRecord.nowMs();
        }
        mRunning.clear();
        mEnds.clear();
        mClosed.clear();
        mFence = 0;
        mDeadlineMs = 0;
        mLastEnd = 0;
    }

    /** Starts again under the same id and address, and registers. */
    void startAgain() throws InterruptedException {
        synchronized (this) {
            mLife++;
            mDark = false;
            mBornMs = System.currentTimeMillis();
            mBornAtMs = mRecord.nowMs();
            mSeq = 0;
            mRecord.say("executor " + mId + " runs again");
            notifyAll();
        }
        mStore.awaitWrite();
        register();
    }

    /** Returns whether a request reaches this life: its connection was opened during it. */
    private synchronized boolean reaches(HttpExchange exchange) throws InterruptedException {
        String connection = exchange.getRemoteAddress().toString();
        while (mDark) {
            mLifeByConnection.putIfAbsent(connection, mLife);
            wait();
        }
        return mLifeByConnection.computeIfAbsent(connection, c -> mLife) == mLife;
    }

    /** Returns when a long poll arrived last, in milliseconds since the start of the case. */
    synchronized long lastLongPollMs() {
        return mLastLongPollMs;
    }

    private long clockMs() {
        return CLOCK_START_MS + mRecord.nowMs() - mBornAtMs;
    }

    private Http.Answer handle(HttpExchange exchange, JsonNode body) throws Exception {
        String call = exchange.getRequestURI().getPath();
        if (call.equals("/healthz")) {
            return Http.Answer.of(200);
        }
        if (!reaches(exchange)) {
            return null;
        }
        String expected = exchange.getRequestHeaders().getFirst("Expect-Executor");
        if (expected != null && !expected.equals(mId)) {
            return Http.Answer.of(421);
        }
        synchronized (this) {
            long fence = body.path("fence").asLong();
            if (fence < mFence) {
                return refuse("fence");
            }
            mFence = fence;
            switch (call) {
                case "/api/run-start":
                    return start(body);
                case "/api/run-stop":
                    return stop(body);
                case "/api/hold":
                    return hold(body);
                case "/api/pace":
                    return answer();
                default:
                    return Http.Answer.of(400);
            }
        }
    }

    private Http.Answer answer() {
        return new Http.Answer(200, Http.object().put("clock_ms", clockMs()).put("born", mBornMs));
    }

    private Http.Answer refuse(String reason) {
        return new Http.Answer(409, Http.object().put("clock_ms", clockMs()).put("born", mBornMs)
                .put("reason", reason));
    }

    private void extend(JsonNode body) {
        long deadlineMs = Math.min(body.path("deadline_ms").asLong(), clockMs() + MAX_HOLD_MS);
        mDeadlineMs = Math.max(mDeadlineMs, deadlineMs);
    }

    private Http.Answer start(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        if (body.path("deadline_ms").asLong() <= clockMs()) {
            return refuse("late");
        }
        extend(body);
        Run there = mRunning.get(task);
        if (there != null && there.mNumber == number) {
            return answer();
        }
        if (number <= mClosed.getOrDefault(task, 0) || there != null) {
            return refuse("old");
        }
        int cpu = mDemand.cpu(task);
        int used = mRunning.values().stream().mapToInt(r -> r.mCpu).sum();
        if (used + cpu > CPU) {
            return refuse("room");
        }
        String spec = body.path("spec").asText();
        long workMs = Long.parseLong(spec.substring(spec.indexOf("ms=") + 3));
        Run run = new Run(task, number, mFence, mRecord.nowMs(), workMs, cpu, mId);
        mRunning.put(task, run);
        synchronized (mAll) {
            mAll.add(run);
        }
        mRecord.line("run   start " + task + " run=" + number + " on " + mId + " fence=" + mFence);
        return answer();
    }

    private Http.Answer stop(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        mClosed.merge(task, number, Math::max);
        Run run = mRunning.get(task);
        if (run != null && run.mNumber <= number) {
            run.mStopAtMs = Math.min(run.mStopAtMs, mRecord.nowMs() + mStopMs);
        }
        return answer();
    }

    private Http.Answer hold(JsonNode body) throws InterruptedException {
        if (body.has("deadline_ms")) {
            extend(body);
        }
        long seen = body.path("seen_upto").asLong();
        for (Run end : mEnds) {
            if (end.mEndNumber <= seen && !end.mNoted) {
                end.mNoted = true;
                end.mNotedMs = mRecord.nowMs();
            }
        }
        mEnds.removeIf(end -> end.mEndNumber <= seen);
        long untilMs = mRecord.nowMs() + Math.min(2_000, body.path("wait_ms").asLong());
        if (body.path("wait_ms").asLong() > 0) {
            mLastLongPollMs = mRecord.nowMs();
        }
        int life = mLife;
        while (life == mLife && mEnds.isEmpty() && mRecord.nowMs() < untilMs) {
            wait(Math.max(1, untilMs - mRecord.nowMs()));
        }
        while (life == mLife && mDark) {
            wait();
        }
        if (life != mLife) {
            return awaitNothing();
        }
        ObjectNode lists = Http.object().put("clock_ms", clockMs()).put("born", mBornMs);
        ArrayNode running = lists.putArray("running");
        for (Run run : mRunning.values()) {
            long percent = Math.min(99, 100 * (mRecord.nowMs() - run.mStartMs) / run.mWorkMs);
            running.addArray().add(run.mTask).add(run.mNumber).add("").add(percent)
                    .add(run.mCpu);
        }
        ArrayNode finished = lists.putArray("finished");
        for (Run end : mEnds) {
            if (finished.size() == MAX_LISTED_ENDS) {
                break;
            }
            finished.addArray().add(end.mEndNumber).add(end.mTask).add(end.mNumber)
                    .add(end.mHow).add("");
        }
        return new Http.Answer(200, lists);
    }

    /** Never answers: the connection's other end is not there any more and does not reset it. */
    private Http.Answer awaitNothing() throws InterruptedException {
        while (true) {
            wait();
        }
    }

    private void work() {
        while (true) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long nowMs = mRecord.nowMs();
                boolean lapsed = clockMs() > mDeadlineMs;
                if (lapsed) {
                    mEnds.forEach(end -> end.mLapsedSince = true);
                }
                for (Run run : List.copyOf(mRunning.values())) {
                    if (nowMs - run.mStartMs >= run.mWorkMs) {
                        end(run, "done");
                    } else if (nowMs >= run.mStopAtMs) {
                        end(run, "stopped");
                    } else if (lapsed) {
                        end(run, "lapsed");
                    }
                }
            }
        }
    }

    private void end(Run run, String how) {
        mRunning.remove(run.mTask);
        mClosed.merge(run.mTask, run.mNumber, Math::max);
        run.mHow = how;
        run.mEndMs = mRecord.nowMs();
        run.mEndNumber = ++mLastEnd;
        mEnds.add(run);
        mRecord.line("run   end   " + run.mTask + " run=" + run.mNumber + " on " + mId + " how="
                + how + " number=" + run.mEndNumber);
        notifyAll();
    }
}
