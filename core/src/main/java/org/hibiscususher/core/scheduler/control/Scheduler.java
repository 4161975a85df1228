package org.hibiscususher.core.scheduler.control;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.agrona.collections.MutableLong;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * The tables of the scheduler in one process, and the systems that run over them.
 *
 * <p>A tick depends on nothing but the tables, the times and the inputs. Not thread-safe.
 */
public final class Scheduler {
    private final SchedulerWorld mWorld;
    private final MutableLong mCallId = new MutableLong();

    private Scheduler(SchedulerWorld world) {
        mWorld = world;
    }

    /** Creates the scheduler of a process that has just started. */
    public static Scheduler create(SchedulerSettings settings) {
        return new Scheduler(SchedulerWorld.create(requireNonNull(settings)));
    }

    /**
     * Runs every system once.
     *
     * @param nowMs milliseconds of a steady clock; never decreases
     * @param wallMs milliseconds since the epoch
     * @param inputs what happened since the last tick, in order
     * @return what is to be done, in order
     */
    public List<SchedulerOutput> tick(long nowMs, long wallMs, List<SchedulerInput> inputs) {
        SchedulerTick tick =
                new SchedulerTick(mWorld, nowMs, wallMs, inputs, mCallId::incrementAndGet);
        for (SchedulerPhase phase : SchedulerPhase.values()) {
            phase.run(tick);
        }
        return tick.outputs();
    }

    /** Returns the tables, for reading between ticks on the control thread. */
    public SchedulerWorld world() {
        return mWorld;
    }
}
