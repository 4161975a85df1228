package org.hibiscususher.core.scheduler.executor;

import java.util.HashMap;
import java.util.Map;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.HostListRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * Gives up silent executors whose hosts have ended them, as the list of hosts tells.
 *
 * <p>Answers hosts that lose power or were ordered away by an earlier owner: without the list, what
 * ran there could only begin anew once its lease has surely ended.
 */
public final class LostExecutorSystem {
    private LostExecutorSystem() {}

    /** Runs over the silent executors when a list of hosts has come. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        HostListRow list = world.hostList().get();
        if (list.listedMs() != tick.nowMs() || !world.term().get().isScheduling()) {
            return;
        }
        Map<String, HostReport> hosts = new HashMap<>();
        for (HostReport host : world.hosts().rows()) {
            if (!host.executor().isEmpty()) {
                hosts.put(host.executor(), host);
            }
        }
        boolean complete =
                world.executors().rows().stream().anyMatch(e -> hosts.containsKey(e.id()));
        for (ExecutorRow row : world.executors().rows()) {
            HostReport host = hosts.get(row.id());
            boolean up = host != null && host.state() == HostState.UP;
            if (complete && !up && isSilentSince(world, row, list.sentMs())) {
                RunLifecycle.removeExecutor(
                        tick, row.id(), host == null ? "on-no-host" : "host-" + host.state());
            }
        }
    }

    /** Returns whether there is an executor out of reach on which something may run. */
    public static boolean needsHostList(SchedulerWorld world) {
        return world.executors().rows().stream()
                .anyMatch(row -> isSilent(world, row) && mayRun(world, row));
    }

    private static boolean mayRun(SchedulerWorld world, ExecutorRow row) {
        return row.inherited() || !world.runs().group(row.id()).isEmpty();
    }

    private static boolean isSilent(SchedulerWorld world, ExecutorRow row) {
        ExecutorSessionRow contact = world.executorSessions().find(row.id()).orElse(null);
        return contact != null && (contact.consecutiveFailures() > 0 || row.missingSinceMs() != 0);
    }

    private static boolean isSilentSince(SchedulerWorld world, ExecutorRow row, long sentMs) {
        long answeredMs =
                world.executorSessions()
                        .find(row.id())
                        .map(ExecutorSessionRow::lastAnswerMs)
                        .orElse(0L);
        return isSilent(world, row) && answeredMs < sentMs && row.firstSeenMs() < sentMs;
    }
}
