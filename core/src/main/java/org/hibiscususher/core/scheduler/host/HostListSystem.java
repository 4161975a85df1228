package org.hibiscususher.core.scheduler.host;

import org.hibiscususher.core.scheduler.executor.LostExecutorSystem;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HostListFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HostsListed;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.ListHosts;
import org.hibiscususher.core.scheduler.world.HostListRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermStage;

/** Keeps the list of hosts fresh while something is under way with hosts or executors are lost. */
public final class HostListSystem {
    private static final long BUSY_MS = 500;
    private static final long IDLE_MS = 10_000;
    private static final long TIMEOUT_MS = 2_000;

    private HostListSystem() {}

    /** Takes in lists, and asks for the next one when it is due. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        HostListRow row = world.hostList().get();
        for (SchedulerInput input : tick.inputs()) {
            if (input instanceof HostsListed listed && listed.callId() == row.callId()) {
                world.hosts().clear();
                listed.hosts().forEach(h -> world.hosts().put(h.id(), h));
                row = new HostListRow(0, row.sentMs(), tick.nowMs());
            } else if (input instanceof HostListFailed failed && failed.callId() == row.callId()) {
                row = new HostListRow(0, row.sentMs(), row.listedMs());
            }
        }
        boolean busy =
                world.hostOperations().size() > 0
                        || LostExecutorSystem.needsHostList(world)
                        || world.waves().rows().stream().anyMatch(w -> !w.done());
        long everyMs = busy ? BUSY_MS : IDLE_MS;
        boolean free = row.callId() == 0 || tick.nowMs() - row.sentMs() > TIMEOUT_MS;
        boolean due = row.sentMs() == 0 || tick.nowMs() - row.sentMs() >= everyMs;
        if (free && due && world.term().get().stage() == TermStage.OWNING) {
            long callId = tick.nextCallId();
            row = new HostListRow(callId, tick.nowMs(), row.listedMs());
            tick.emit(new ListHosts(callId));
        }
        world.hostList().set(row);
    }
}
