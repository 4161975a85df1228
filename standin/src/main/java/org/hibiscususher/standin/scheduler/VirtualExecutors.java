package org.hibiscususher.standin.scheduler;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.message.ExecutorReport;

/** The executors of a simulated site, and the platform's list of them. */
final class VirtualExecutors {
    /** Capacity of each executor. */
    static final Resources CAPACITY = Resources.of(8_000, 16_000, 0);

    /** Time that the platform continues to list an executor after its end. */
    private static final long STALE_REPORT_MS = 3_500;

    private final VirtualClock mClock;
    private final Random mRandom;
    private final InvariantChecker mInvariants;
    private final Map<String, VirtualExecutor> mExecutors = new LinkedHashMap<>();

    /** Ended executors that the platform no longer lists. */
    private final Set<String> mUnlisted = new HashSet<>();

    VirtualExecutors(VirtualClock clock, Random random, InvariantChecker invariants) {
        mClock = requireNonNull(clock);
        mRandom = requireNonNull(random);
        mInvariants = requireNonNull(invariants);
    }

    /** Starts a number of executors, each on its own host and two in a rack. */
    void addInitial(int count) {
        for (int i = 0; i < count; i++) {
            String id = "x" + i;
            add(
                    new ExecutorReport(
                            id,
                            SchedulerSite.POOL,
                            id + ":1",
                            VirtualZones.zoneOf(i),
                            "h" + i,
                            List.of("a", "r" + i / 2),
                            CAPACITY,
                            false,
                            0,
                            1));
        }
    }

    /** Starts an executor. */
    void add(ExecutorReport report) {
        mExecutors.put(report.id(), new VirtualExecutor(mClock, mRandom, mInvariants, report));
    }

    /** Returns an executor, also an ended one. */
    VirtualExecutor get(String id) {
        return mExecutors.get(id);
    }

    /** Returns all executors, also those that have ended. */
    Collection<VirtualExecutor> all() {
        return mExecutors.values();
    }

    /** Returns the platform's list of executors. */
    List<ExecutorReport> reports() {
        return mExecutors.values().stream()
                .map(VirtualExecutor::report)
                .filter(report -> !mUnlisted.contains(report.id()))
                .toList();
    }

    /**
     * Kills an executor for good.
     *
     * @param onUnlisted runs when the platform no longer lists it
     * @return the last report of the executor
     */
    ExecutorReport end(String id, Runnable onUnlisted) {
        VirtualExecutor executor = mExecutors.get(id);
        executor.end();
        mClock.after(
                STALE_REPORT_MS,
                () -> {
                    mUnlisted.add(id);
                    onUnlisted.run();
                });
        return executor.report();
    }

    /**
     * Starts an executor with a new id in place of an ended one.
     *
     * @param ended last report of the ended executor
     * @return id of the new executor
     */
    String replace(ExecutorReport ended) {
        String id = ended.id() + "n";
        add(
                new ExecutorReport(
                        id,
                        ended.pool(),
                        id + ":1",
                        ended.zone(),
                        ended.host(),
                        ended.labels(),
                        ended.capacity(),
                        false,
                        0,
                        mClock.nowMs()));
        return id;
    }
}
