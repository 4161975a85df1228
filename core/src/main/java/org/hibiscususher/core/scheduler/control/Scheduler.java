package org.hibiscususher.core.scheduler.control;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.function.LongSupplier;
import org.agrona.collections.MutableLong;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * The scheduler of one process: its tables, and the systems that run over them each tick.
 *
 * <p>A tick is deterministic: it depends only on the tables, the given times and the inputs, and
 * performs no input or output itself. Not thread-safe; used by the control thread only.
 */
public final class Scheduler {
    private final SchedulerWorld mWorld;
    private final LongSupplier mNanoClock;
    private final MutableLong mCallId = new MutableLong();

    private Scheduler(SchedulerWorld world, LongSupplier nanoClock) {
        mWorld = world;
        mNanoClock = nanoClock;
    }

    /** Creates the scheduler of a process that has just started; it owns nothing yet. */
    public static Scheduler create(SchedulerSettings settings) {
        return create(settings, () -> 0);
    }

    /**
     * Creates the scheduler of a process that has just started; it owns nothing yet.
     *
     * @param nanoClock clock in nanoseconds by which the time of each system is measured; no
     *     decision depends on it
     */
    public static Scheduler create(SchedulerSettings settings, LongSupplier nanoClock) {
        return new Scheduler(
                SchedulerWorld.create(requireNonNull(settings)), requireNonNull(nanoClock));
    }

    /**
     * Runs every system once. One that fails doesn't keep the others from running, and the outputs
     * up to its failure stand.
     *
     * @param nowMs milliseconds of a steady clock; never decreases
     * @param wallMs milliseconds since the epoch
     * @param inputs events since the last tick, in order
     * @return actions for the caller to perform, in order
     */
    public List<SchedulerOutput> tick(long nowMs, long wallMs, List<SchedulerInput> inputs) {
        SchedulerTick tick =
                new SchedulerTick(mWorld, nowMs, wallMs, inputs, mCallId::incrementAndGet);
        TickTimes times = TickTimes.start(mNanoClock.getAsLong());
        for (SchedulerPhase phase : SchedulerPhase.values()) {
            tick.attempt(phase.name(), () -> phase.run(tick));
            times.record(phase, mNanoClock.getAsLong());
        }
        times.report(tick);
        return tick.outputs();
    }

    /** Returns the tables, for reading between ticks on the control thread. */
    public SchedulerWorld world() {
        return mWorld;
    }
}
