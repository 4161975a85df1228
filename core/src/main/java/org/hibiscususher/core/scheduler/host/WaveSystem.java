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
 * Has the hosts of a wave maintained in time, with at most its cap away at once.
 *
 * <p>Hosts are emptied a few ahead of the cap, those with the least work first, so that the next
 * one is empty when another comes back.
 */
public final class WaveSystem {
    /** Hosts that are emptied beyond the cap. */
    private static final int AHEAD = 1;

    private WaveSystem() {}

    /** Runs over the waves and the hosts under way. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (HostOrderCompleted answer : tick.inputs(HostOrderCompleted.class)) {
            HostOperations.handleOrderResult(tick, answer);
        }
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

    private static void advance(SchedulerTick tick, WaveRow wave) {
        SchedulerWorld world = tick.world();
        long number = wave.order().wave();
        if (!wave.announced()) {
            announce(world, number, false);
            world.waves().put(number, wave.asAnnounced());
        }
        int under = 0;
        for (String host : wave.order().hosts()) {
            boolean taken =
                    world.hostOperations().find(host).filter(t -> t.wave() == number).isPresent();
            under += taken || HostOperations.mayBeOutByEarlierOwner(tick, host) ? 1 : 0;
        }
        List<HostReport> next = new ArrayList<>();
        boolean left = false;
        for (String host : wave.order().hosts()) {
            boolean open = !wave.startedHosts().contains(host);
            left |= open;
            if (open && !world.hostOperations().contains(host)) {
                world.hosts()
                        .find(host)
                        .filter(h -> h.state() == HostState.UP)
                        .ifPresent(next::add);
            }
        }
        next.sort(Comparator.comparingInt(h -> world.runs().group(h.executor()).size()));
        for (HostReport host : next) {
            if (under < wave.order().maxConcurrentHosts() + AHEAD) {
                HostOperations.begin(tick, host, number, "");
                under++;
            }
        }
        if (!left && under == 0) {
            announce(world, number, true);
            world.waves().update(number, WaveRow::asDone);
            tick.log("wave-done", "wave=" + number);
        }
    }

    private static void announce(SchedulerWorld world, long wave, boolean done) {
        StoredRecord status = new StoredRecord.WaveStatus(wave, done);
        world.pendingRecords().put(status.name(), status);
    }
}
