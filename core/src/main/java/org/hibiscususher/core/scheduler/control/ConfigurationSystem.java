package org.hibiscususher.core.scheduler.control;

import java.util.Set;
import org.hibiscususher.core.scheduler.message.SchedulerInput.PlanSeen;
import org.hibiscususher.core.scheduler.message.SchedulerInput.WaveGone;
import org.hibiscususher.core.scheduler.message.SchedulerInput.WaveSeen;
import org.hibiscususher.core.scheduler.world.PlanRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.WaveRow;

/** Takes in the operators' configuration and their orders for waves. */
final class ConfigurationSystem {
    private ConfigurationSystem() {}

    static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (PlanSeen seen : tick.inputs(PlanSeen.class)) {
            PlanRow before = world.plan().get();
            if (seen.plan().version() > before.plan().version()) {
                world.plan().set(new PlanRow(seen.plan(), seen.revision()));
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
        for (WaveGone gone : tick.inputs(WaveGone.class)) {
            tick.log("wave-withdrawn", "wave=" + gone.wave());
            world.waves().remove(gone.wave());
        }
    }
}
