package org.hibiscususher.core.scheduler.control;

import java.util.Set;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ConfigurationUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.WaveOrdered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.WaveWithdrawn;
import org.hibiscususher.core.scheduler.world.ConfigurationRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.WaveRow;

/** Applies new configurations and the operators' orders to start or withdraw maintenance waves. */
final class ConfigurationSystem {
    private ConfigurationSystem() {}

    static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (ConfigurationUpdated update : tick.inputs(ConfigurationUpdated.class)) {
            ConfigurationRow current = world.configuration().get();
            if (update.configuration().version() > current.configuration().version()) {
                world.configuration()
                        .set(new ConfigurationRow(update.configuration(), update.revision()));
                tick.log(
                        "plan-in-force",
                        "version="
                                + update.configuration().version()
                                + " before="
                                + current.configuration().version()
                                + " revision="
                                + update.revision()
                                + " queues="
                                + update.configuration().queues().size()
                                + " teams="
                                + update.configuration().teams().size());
            }
        }
        for (WaveOrdered ordered : tick.inputs(WaveOrdered.class)) {
            long wave = ordered.order().wave();
            if (!world.waves().contains(wave)) {
                tick.log(
                        "wave-seen",
                        "wave="
                                + wave
                                + " hosts="
                                + ordered.order().hosts().size()
                                + " cap="
                                + ordered.order().maxConcurrentHosts()
                                + " within_ms="
                                + ordered.order().timeLimitMs());
                world.waves()
                        .put(
                                wave,
                                new WaveRow(ordered.order(), tick.nowMs(), Set.of(), false, false));
            }
        }
        for (WaveWithdrawn withdrawn : tick.inputs(WaveWithdrawn.class)) {
            tick.log("wave-withdrawn", "wave=" + withdrawn.wave());
            world.waves().remove(withdrawn.wave());
        }
    }
}
