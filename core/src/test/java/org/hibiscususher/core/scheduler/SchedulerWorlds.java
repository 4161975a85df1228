package org.hibiscususher.core.scheduler;

import java.util.List;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/** Tables for tests of single systems. */
public final class SchedulerWorlds {
    private static final long FENCE = 50;
    private static final long LEASE_MS = 60_000;

    private SchedulerWorlds() {}

    /** Returns the tables of an owner that has just taken its second term. */
    public static SchedulerWorld ofOwner(long nowMs) {
        SchedulerWorld world =
                SchedulerWorld.create(
                        new SchedulerSettings("n", 1, "n", List.of(), 0, SchedulerTiming.DEFAULT));
        world.term()
                .set(
                        new TermRow(
                                TermStage.OWNING,
                                2,
                                FENCE,
                                7,
                                nowMs + LEASE_MS,
                                nowMs,
                                0,
                                0,
                                0,
                                false,
                                true));
        return world;
    }

    /** Adds an executor that answered at a time. */
    public static void addExecutor(
            SchedulerWorld world, String id, String pool, Resources capacity, long answeredMs) {
        ExecutorReport report =
                new ExecutorReport(id, pool, id + ":1", "z", "h", List.of(), capacity, false, 0, 0);
        world.executors().put(id, new ExecutorRow(report, 1, 0, false, true, false, 0));
        world.executorSessions()
                .put(id, ExecutorSessionRow.initial(id, 0).withHeartbeatAnswered(1, 1, answeredMs));
    }
}
