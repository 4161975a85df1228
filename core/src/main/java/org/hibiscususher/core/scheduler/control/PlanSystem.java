package org.hibiscususher.core.scheduler.control;

import java.util.Set;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ConfigurationSeen;
import org.hibiscususher.core.scheduler.message.SchedulerInput.WaveSeen;
import org.hibiscususher.core.scheduler.message.SchedulerInput.WaveWithdrawn;
import org.hibiscususher.core.scheduler.world.ConfigurationRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.WaveRow;

/** Takes in the operators' configuration and their orders for waves. */
final class PlanSystem {
    private PlanSystem() {}

    static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (ConfigurationSeen seen : tick.inputs(ConfigurationSeen.class)) {
            ConfigurationRow before = world.plan().get();
            if (seen.plan().version() > before.plan().version()) {
                world.plan().set(new ConfigurationRow(seen.plan(), seen.revision()));
                tick.log(
                        "plan-in-force",
                        "version="
                                + seen.plan().version()
                                + " before="
                                + before.plan().version()
                                + " revision="
                                + seen.revision()
                                + " queues="
                                + seen.plan().queues().size()
                                + " teams="
                                + seen.plan().teams().size());
            }
        }
        for (WaveSeen seen : tick.inputs(WaveSeen.class)) {
            long wave = seen.wave().wave();
            if (!world.waves().contains(wave)) {
                tick.log(
                        "wave-seen",
                        "wave="
                                + wave
                                + " hosts="
                                + seen.wave().hosts().size()
                                + " cap="
                                + seen.wave().cap()
                                + " within_ms="
                                + seen.wave().withinMs());
                world.waves()
                        .put(wave, new WaveRow(seen.wave(), tick.nowMs(), Set.of(), false, false));
            }
        }
        for (WaveWithdrawn gone : tick.inputs(WaveWithdrawn.class)) {
            tick.log("wave-withdrawn", "wave=" + gone.wave());
            world.waves().remove(gone.wave());
        }
    }
}
