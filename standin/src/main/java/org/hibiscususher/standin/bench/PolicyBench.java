package org.hibiscususher.standin.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.estimate.RunTimeKey;
import org.hibiscususher.core.scheduler.estimate.RunTimeSample;
import org.hibiscususher.core.scheduler.world.RunTimeRow;

/**
 * Compares orders of starts on one pool in virtual time, with the samples and predictions of the
 * scheduler. All policies of a site get the same jobs.
 */
public final class PolicyBench {
    private static final int EXECUTORS = 32;
    private static final int SEEDS = 5;
    private static final double DURATION_MS = 300_000;
    private static final double SURGE_INTERVAL_MS = 20_000;
    private static final double SURGE_MS = 4_000;

    /** Jobs a second outside surges, about 0.4 times what the pool can do. */
    private static final double RATE = 3;

    /** Jobs a second in a surge, about 2.6 times what the pool can do. */
    private static final double SURGE_RATE = 18;

    /** Deadline: this multiple of a task's time, and the slack, after the arrival. */
    private static final double DEADLINE_FACTOR = 1.6;

    private static final double SLACK_MS = 600;

    private final StartPolicy mPolicy;
    private final List<PolicyJob> mArrivals;
    private final List<PolicyJob> mWaiting = new ArrayList<>();
    private final PriorityQueue<Run> mRuns = new PriorityQueue<>(Comparator.comparing(Run::endMs));
    private final Map<Integer, RunTimeRow> mRunTimes = new HashMap<>();
    private final List<Double> mTimesMs = new ArrayList<>();
    private final boolean[] mBusy = new boolean[EXECUTORS];
    private int mInTime;

    private PolicyBench(StartPolicy policy, List<PolicyJob> arrivals) {
        mPolicy = policy;
        mArrivals = arrivals;
    }

    /** A task on an executor. */
    private record Run(PolicyJob job, int executor, double startMs, double endMs) {}

    /** Prints the time of a look-up and the table. */
    public static void main(String[] args) {
        System.out.println("look-up of a run time: " + RunTimeLookup.bestNanos() + " ns");
        System.out.println("site policy: mean p50 p95 ms to the end of a job, part in time");
        for (PolicySite site : PolicySite.values()) {
            for (StartPolicy policy : StartPolicy.values()) {
                List<Double> timesMs = new ArrayList<>();
                int inTime = 0;
                for (int seed = 1; seed <= SEEDS; seed++) {
                    PolicyBench bench = new PolicyBench(policy, arrivals(site, seed));
                    bench.run();
                    timesMs.addAll(bench.mTimesMs);
                    inTime += bench.mInTime;
                }
                print(site, policy, timesMs, inTime);
            }
        }
    }

    private static void print(
            PolicySite site, StartPolicy policy, List<Double> timesMs, int inTime) {
        timesMs.sort(Comparator.naturalOrder());
        int count = timesMs.size();
        System.out.printf(
                Locale.ROOT,
                "%-8s %-14s %7.0f %7.0f %7.0f  %.3f  (%d jobs)%n",
                site,
                policy,
                timesMs.stream().mapToDouble(t -> t).average().orElse(0),
                timesMs.get(count / 2),
                timesMs.get(count * 95 / 100),
                (double) inTime / count,
                count);
    }

    private static List<PolicyJob> arrivals(PolicySite site, long seed) {
        Random random = new Random(seed);
        List<PolicyJob> jobs = new ArrayList<>();
        double nowMs = 0;
        while (nowMs < DURATION_MS) {
            double rate = nowMs % SURGE_INTERVAL_MS < SURGE_MS ? SURGE_RATE : RATE;
            nowMs += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
            int kind = random.nextInt(PolicySite.KINDS);
            jobs.add(PolicyJob.random(site, kind, nowMs, random));
        }
        return jobs;
    }

    private void run() {
        int next = 0;
        while (next < mArrivals.size() || !mRuns.isEmpty()) {
            boolean arrives =
                    next < mArrivals.size()
                            && (mRuns.isEmpty()
                                    || mArrivals.get(next).arrivedMs() <= mRuns.peek().endMs());
            double nowMs = arrives ? mArrivals.get(next).arrivedMs() : mRuns.peek().endMs();
            if (arrives) {
                mWaiting.add(mArrivals.get(next++));
            } else {
                finish(mRuns.poll());
            }
            startTasks(nowMs);
        }
    }

    private void finish(Run run) {
        double durationMs = run.endMs() - run.startMs();
        mBusy[run.executor()] = false;
        RunTimeSample sample =
                new RunTimeSample(
                        "e" + run.executor(),
                        Math.round(durationMs),
                        Math.round(run.job().declaredMs()));
        mRunTimes.put(run.job().kind(), row(run.job().kind()).with(sample, 0));
        if (run.job().finishTask(durationMs)) {
            double timeMs = run.endMs() - run.job().arrivedMs();
            mTimesMs.add(timeMs);
            mInTime += timeMs <= DEADLINE_FACTOR * durationMs + SLACK_MS ? 1 : 0;
        }
    }

    private RunTimeRow row(int kind) {
        return mRunTimes.computeIfAbsent(
                kind,
                k ->
                        RunTimeRow.of(
                                new RunTimeKey("image-" + k, "", 0, 0, Resources.NONE),
                                List.of(),
                                0));
    }

    private void startTasks(double nowMs) {
        for (int i = 0; i < EXECUTORS && !mWaiting.isEmpty(); i++) {
            if (!mBusy[i]) {
                PolicyJob job = first();
                mBusy[i] = true;
                mRuns.add(new Run(job, i, nowMs, nowMs + job.startTask()));
                if (job.remainingTasks() == 0) {
                    mWaiting.remove(job);
                }
            }
        }
    }

    private PolicyJob first() {
        return mWaiting.stream()
                .min(
                        Comparator.comparingDouble(
                                job -> mPolicy.order(job, row(job.kind()).prediction())))
                .orElseThrow();
    }
}
