package org.hibiscususher.core.scheduler.evacuation;

import java.util.Optional;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.HostOperationRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.ZoneEvacuationRow;

/** Decides which executors and hosts get work while operators evacuate their zone. */
public final class ZoneEvacuations {
    /** Interval for which the runs that start in a restored zone are limited, in milliseconds. */
    static final long RESTORE_INTERVAL_MS = 250;

    private ZoneEvacuations() {}

    /**
     * Returns whether an executor is in a zone that is evacuated, or may be because its zone isn't
     * known.
     */
    public static boolean isEvacuated(SchedulerWorld world, ExecutorRow executor) {
        if (world.zoneEvacuations().size() == 0) {
            return false;
        }
        String zone = zoneOf(world, executor);
        return zone.isEmpty()
                ? world.zoneEvacuations().rows().stream().anyMatch(ZoneEvacuationRow::isEvacuated)
                : isEvacuated(world, zone);
    }

    private static boolean isEvacuated(SchedulerWorld world, String zone) {
        return world.zoneEvacuations()
                .find(zone)
                .filter(ZoneEvacuationRow::isEvacuated)
                .isPresent();
    }

    /** Returns whether a host is in a zone that is evacuated. */
    public static boolean isEvacuated(SchedulerWorld world, HostReport host) {
        return isEvacuated(world, host.zone());
    }

    /** Returns whether the host of an operation is in a zone that is evacuated. */
    public static boolean isEvacuated(SchedulerWorld world, HostOperationRow operation) {
        return world.zoneEvacuations().size() > 0
                && world.hosts()
                        .find(operation.host())
                        .filter(host -> isEvacuated(world, host))
                        .isPresent();
    }

    /** Returns whether a pool has no executor outside evacuated zones. */
    public static boolean hasNoUsableExecutor(SchedulerWorld world, String pool) {
        return world.executors().group(pool).stream().allMatch(row -> isEvacuated(world, row));
    }

    /**
     * Returns the part of an executor's free capacity in which runs may start now. It is limited
     * for a moment after an evacuation, so that the executors of the zone are not filled at once.
     */
    public static Resources startableCapacity(
            SchedulerTick tick, ExecutorRow executor, Resources free) {
        ZoneEvacuationRow zone = find(tick.world(), executor).orElse(null);
        if (zone == null) {
            return free;
        }
        Resources limit = zone.startLimit(executor.report().capacity());
        for (RunRow run : tick.world().runs().group(executor.id())) {
            if (tick.nowMs() - run.sentMs() < RESTORE_INTERVAL_MS) {
                limit = limit.minus(run.reserved());
            }
        }
        return new Resources(
                Math.min(free.cpuMillis(), limit.cpuMillis()),
                Math.min(free.memoryMb(), limit.memoryMb()),
                Math.min(free.gpus(), limit.gpus()));
    }

    private static Optional<ZoneEvacuationRow> find(SchedulerWorld world, ExecutorRow executor) {
        return world.zoneEvacuations().size() == 0
                ? Optional.empty()
                : world.zoneEvacuations().find(zoneOf(world, executor));
    }

    /**
     * Returns the name of an executor's zone. An executor that does not report it is in that of its
     * host; empty if that is unknown too.
     */
    static String zoneOf(SchedulerWorld world, ExecutorRow executor) {
        String zone = executor.report().zone();
        return zone.isEmpty()
                ? world.hosts().find(executor.report().host()).map(HostReport::zone).orElse("")
                : zone;
    }
}
