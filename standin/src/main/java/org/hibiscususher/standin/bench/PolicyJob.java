package org.hibiscususher.standin.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A job of like tasks in the comparison of start policies, and how far it has come. */
final class PolicyJob {
    /** One task in this many takes {@link #TAIL_FACTOR} times its usual time. */
    private static final int TAIL_PART = 30;

    private static final int TAIL_FACTOR = 7;
    private static final int MAX_TASKS = 8;

    private final int mKind;
    private final double mArrivedMs;
    private final double mDeclaredMs;
    private final List<Double> mTaskMs;
    private int mStarted;
    private int mFinished;
    private double mAttainedMs;

    private PolicyJob(int kind, double arrivedMs, double declaredMs, List<Double> taskMs) {
        mKind = kind;
        mArrivedMs = arrivedMs;
        mDeclaredMs = declaredMs;
        mTaskMs = List.copyOf(taskMs);
    }

    /** Returns a random job of a kind. */
    static PolicyJob random(PolicySite site, int kind, double arrivedMs, Random random) {
        double sizeMs = site.sizeMs(kind, random);
        List<Double> taskMs = new ArrayList<>();
        int tasks = 1 + random.nextInt(MAX_TASKS);
        for (int i = 0; i < tasks; i++) {
            double tail = random.nextInt(TAIL_PART) == 0 ? TAIL_FACTOR : 1;
            taskMs.add(sizeMs * tail * (0.9 + 0.2 * random.nextDouble()));
        }
        return new PolicyJob(kind, arrivedMs, site.declaredMs(kind, sizeMs, random), taskMs);
    }

    int kind() {
        return mKind;
    }

    double arrivedMs() {
        return mArrivedMs;
    }

    double declaredMs() {
        return mDeclaredMs;
    }

    /** Returns the number of tasks that have not started. */
    int remainingTasks() {
        return mTaskMs.size() - mStarted;
    }

    /** Returns the processor time of its finished tasks. */
    double attainedMs() {
        return mAttainedMs;
    }

    /** Starts the next task; returns its duration. */
    double startTask() {
        return mTaskMs.get(mStarted++);
    }

    /** Records the end of a task; returns whether it was the last one. */
    boolean finishTask(double durationMs) {
        mAttainedMs += durationMs;
        return ++mFinished == mTaskMs.size();
    }
}
