package org.hibiscususher.core.scheduler.control;

import java.util.Set;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ConfigurationUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.WaveOrdered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.WaveWithdrawn;
import org.hibiscususher.core.scheduler.world.ConfigurationRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.WaveRow;

/** Takes in the operators' configuration and their orders for waves. */
final class ConfigurationSystem {
    private ConfigurationSystem() {}

    static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (ConfigurationUpdated seen : tick.inputs(ConfigurationUpdated.class)) {
            ConfigurationRow before = world.configuration().get();
            if (seen.configuration().version() > before.configuration().version()) {
                world.configuration()
                        .set(new ConfigurationRow(seen.configuration(), seen.revision()));
                tick.log(
                        "plan-in-force",
                        "version="
                                + seen.configuration().version()
                                + " before="
                                + before.configuration().version()
                                + " revision="
                                + seen.revision()
                                + " queues="
                                + seen.configuration().queues().size()
                                + " teams="
                                + seen.configuration().teams().size());
            }
        }
        for (WaveOrdered seen : tick.inputs(WaveOrdered.class)) {
            long wave = seen.order().wave();
            if (!world.waves().contains(wave)) {
                tick.log(
                        "wave-seen",
                        "wave="
                                + wave
                                + " hosts="
                                + seen.order().hosts().size()
                                + " cap="
                                + seen.order().maxConcurrentHosts()
                                + " within_ms="
                                + seen.order().timeLimitMs());
                world.waves()
                        .put(wave, new WaveRow(seen.order(), tick.nowMs(), Set.of(), false, false));
            }
        }
        for (WaveWithdrawn gone : tick.inputs(WaveWithdrawn.class)) {
            tick.log("wave-withdrawn", "wave=" + gone.wave());
            world.waves().remove(gone.wave());
        }
    }
}
