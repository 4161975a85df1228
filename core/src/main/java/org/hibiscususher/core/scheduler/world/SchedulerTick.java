package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;

/**
 * One run of all systems of the scheduler: the times, what happened, and what is to be done.
 *
 * <p>Not thread-safe.
 */
public final class SchedulerTick {
    private final SchedulerWorld mWorld;
    private final long mNowMs;
    private final long mWallMs;
    private final List<SchedulerInput> mInputs;
    private final LongSupplier mCallIds;
    private final List<SchedulerOutput> mOutputs = new ArrayList<>();

    /**
     * Creates a tick.
     *
     * @param world the tables
     * @param nowMs milliseconds of a steady clock
     * @param wallMs milliseconds since the epoch
     * @param inputs what happened since the last tick, in order
     * @param callIds gives ids of calls
     */
    public SchedulerTick(
            SchedulerWorld world,
            long nowMs,
            long wallMs,
            List<SchedulerInput> inputs,
            LongSupplier callIds) {
        mWorld = requireNonNull(world);
        mNowMs = nowMs;
        mWallMs = wallMs;
        mInputs = List.copyOf(inputs);
        mCallIds = requireNonNull(callIds);
    }

    /** Returns the tables. */
    public SchedulerWorld world() {
        return mWorld;
    }

    /** Returns the time in milliseconds of the steady clock. */
    public long nowMs() {
        return mNowMs;
    }

    /** Returns the time in milliseconds since the epoch. */
    public long wallMs() {
        return mWallMs;
    }

    /** Returns the inputs of one type, in order. */
    public <T extends SchedulerInput> List<T> inputs(Class<T> type) {
        List<T> found = new ArrayList<>();
        for (SchedulerInput input : mInputs) {
            if (type.isInstance(input)) {
                found.add(type.cast(input));
            }
        }
        return found;
    }

    /** Returns all inputs, in order. */
    public List<SchedulerInput> inputs() {
        return mInputs;
    }

    /** Adds something to be done. */
    public void emit(SchedulerOutput output) {
        mOutputs.add(requireNonNull(output));
    }

    /** Writes a line to the log; {@code line} holds key=value pairs. */
    public void log(String event, String line) {
        emit(new SchedulerOutput.Log(event, line));
    }

    /** Counts an event. */
    public void count(String counter) {
        emit(new SchedulerOutput.Count(counter));
    }

    /** Returns an id for a call, unique in this process. */
    public long nextCallId() {
        return mCallIds.getAsLong();
    }

    /** Returns what is to be done, in order. */
    public List<SchedulerOutput> outputs() {
        return List.copyOf(mOutputs);
    }
}
