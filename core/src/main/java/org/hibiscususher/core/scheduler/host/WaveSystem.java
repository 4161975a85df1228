package org.hibiscususher.core.scheduler.host;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HostOrderCompleted;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.HostOperationRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.WaveRow;

/**
 * Maintains the hosts of waves in time, with at most a wave's cap of hosts out of service at once.
 *
 * <p>Emptying a host takes a while, so hosts are emptied ahead of the cap, those with the fewest
 * runs first: the next one is then empty when another returns.
 */
public final class WaveSystem {
    /** Number of hosts that are emptied beyond the cap. */
    private static final int HOSTS_AHEAD = 1;

    private WaveSystem() {}

    /** Applies the results of orders, then advances the waves and all operations on hosts. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        tick.forEachInput(HostOrderCompleted.class, a -> HostOperations.handleOrderResult(tick, a));
        if (world.hostList().get().listedMs() == 0 || !Authority.mayOrderHosts(tick)) {
            return;
        }
        for (WaveRow wave : world.waves().rows()) {
            if (!wave.done()) {
                advance(tick, wave);
            }
        }
        for (HostOperationRow row : world.hostOperations().rows()) {
            HostOperations.advance(tick, row);
        }
    }

    /** Begins operations on hosts as the cap allows, and ends the wave when none is left. */
    private static void advance(SchedulerTick tick, WaveRow wave) {
        SchedulerWorld world = tick.world();
        long number = wave.order().wave();
        if (!wave.announced()) {
            recordStatus(world, number, false);
            world.waves().put(number, wave.asAnnounced());
        }
        int inProgress = 0;
        for (String host : wave.order().hosts()) {
            boolean isInProgress =
                    world.hostOperations().find(host).filter(o -> o.wave() == number).isPresent();
            inProgress += isInProgress || HostOperations.mayBeOutByEarlierOwner(tick, host) ? 1 : 0;
        }
        List<HostReport> candidates = new ArrayList<>();
        boolean hostsLeft = false;
        for (String host : wave.order().hosts()) {
            boolean notStarted = !wave.startedHosts().contains(host);
            hostsLeft |= notStarted;
            if (notStarted && !world.hostOperations().contains(host)) {
                world.hosts()
                        .find(host)
                        .filter(h -> h.state() == HostState.UP)
                        .ifPresent(candidates::add);
            }
        }
        candidates.sort(Comparator.comparingInt(h -> world.runs().group(h.executor()).size()));
        for (HostReport host : candidates) {
            if (inProgress < wave.order().maxConcurrentHosts() + HOSTS_AHEAD) {
                HostOperations.begin(tick, host, number, "");
                inProgress++;
            }
        }
        if (!hostsLeft && inProgress == 0) {
            recordStatus(world, number, true);
            world.waves().update(number, WaveRow::asDone);
            tick.log("wave-done", "wave=" + number);
        }
    }

    /** Queues the status of a wave to be stored, where operators read it. */
    private static void recordStatus(SchedulerWorld world, long wave, boolean done) {
        StoredRecord status = new StoredRecord.WaveStatus(wave, done);
        world.pendingRecords().put(status.name(), status);
    }
}
