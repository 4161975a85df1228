package org.hibiscususher.core.scheduler.executor;

import java.util.HashMap;
import java.util.Map;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.HostListRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.UncertainStartRow;

/**
 * Removes silent executors that, by the platform's list of hosts, no longer run.
 *
 * <p>This covers hosts that lose power or that an earlier owner has ordered out of service. Without
 * the list, their tasks could restart only once the executor's lease has certainly expired. A
 * silent executor on a host that is up is kept, since it may still run behind a network partition;
 * so are all executors if the list names none of them, since such a list may be incomplete.
 */
public final class LostExecutorSystem {
    private LostExecutorSystem() {}

    /** Removes lost executors if a list of hosts has arrived in this tick. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        HostListRow list = world.hostList().get();
        boolean mayRemove =
                world.term().get().isScheduling() && Authority.mayPresumeLeasesExpired(tick);
        if (list.listedMs() != tick.nowMs() || !mayRemove) {
            return;
        }
        Map<String, HostReport> hosts = new HashMap<>();
        for (HostReport host : world.hosts().rows()) {
            if (!host.executor().isEmpty()) {
                hosts.put(host.executor(), host);
            }
        }
        boolean namesAnyExecutor =
                world.executors().rows().stream().anyMatch(e -> hosts.containsKey(e.id()));
        for (ExecutorRow row : world.executors().rows()) {
            HostReport host = hosts.get(row.id());
            boolean mayRun = host != null && host.state().mayRunTasks();
            if (namesAnyExecutor && !mayRun && isSilentSince(world, row, list.sentMs())) {
                RunLifecycle.removeExecutor(
                        tick, row.id(), host == null ? "on-no-host" : "host-" + host.state());
            }
        }
    }

    /** Returns whether a fresh list of hosts is needed: a silent executor may still have runs. */
    public static boolean needsHostList(SchedulerWorld world) {
        return world.executors().rows().stream()
                .anyMatch(row -> isSilent(world, row) && mayHaveRuns(world, row));
    }

    private static boolean mayHaveRuns(SchedulerWorld world, ExecutorRow row) {
        return row.inherited() || !world.runs().group(row.id()).isEmpty();
    }

    private static boolean isSilent(SchedulerWorld world, ExecutorRow row) {
        ExecutorSessionRow session = world.executorSessions().find(row.id()).orElse(null);
        return session != null && (session.consecutiveFailures() > 0 || row.missingSinceMs() != 0);
    }

    /**
     * Returns whether an executor is silent and has answered no heartbeat, and no order of a run
     * that it has, since the list was requested, and no order to start one was on its way then.
     *
     * @param sentMs when the list was requested; it may not show an executor seen later
     */
    private static boolean isSilentSince(SchedulerWorld world, ExecutorRow row, long sentMs) {
        long lastAnswerMs =
                world.executorSessions()
                        .find(row.id())
                        .map(ExecutorSessionRow::lastAnswerMs)
                        .orElse(0L);
        boolean mayHaveStartedRun =
                world.runs().group(row.id()).stream()
                                .anyMatch(r -> r.orderAnsweredMs() >= sentMs || isOnItsWay(r))
                        || world.uncertainStarts().rows().stream()
                                .anyMatch(s -> isUnansweredSince(s, row.id(), sentMs));
        return isSilent(world, row)
                && lastAnswerMs < sentMs
                && !mayHaveStartedRun
                && row.firstSeenMs() < sentMs;
    }

    /** Returns whether an order to start a run may arrive after the executor has restarted. */
    private static boolean isOnItsWay(RunRow run) {
        return run.stage() == RunStage.SENT;
    }

    private static boolean isUnansweredSince(
            UncertainStartRow start, String executor, long sentMs) {
        return start.executor().equals(executor) && start.detectedMs() >= sentMs;
    }
}
