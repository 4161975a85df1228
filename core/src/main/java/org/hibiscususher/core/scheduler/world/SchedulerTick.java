package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;

/**
 * One pass of the scheduler's systems over the tables: its times, inputs and outputs.
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
     * @param nowMs current time in milliseconds of a steady clock
     * @param wallMs current time in milliseconds since the epoch
     * @param inputs what has happened since the last tick, in order
     * @param callIds supplies ids of calls, each only once
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

    /** Returns the current time in milliseconds of the steady clock. */
    public long nowMs() {
        return mNowMs;
    }

    /** Returns the current time in milliseconds since the epoch. */
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

    /**
     * Applies a handler to the inputs of one type, in order. An input whose handling fails is lost;
     * those behind it are handled.
     */
    public <T extends SchedulerInput> void forEachInput(
            Class<T> type, Consumer<? super T> handler) {
        for (T input : inputs(type)) {
            attempt(input.getClass().getSimpleName(), () -> handler.accept(input));
        }
    }

    /**
     * Runs a part of the tick. Its failure is logged and counted, and the tick continues, so that
     * one malformed row or input can't stop the scheduler.
     *
     * @param part name of the part, for the log
     * @return whether it succeeded
     */
    public boolean attempt(String part, Runnable action) {
        try {
            action.run();
            return true;
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            String place = trace.length == 0 ? "unknown" : trace[0].toString();
            log("part-failed", "part=" + part + " cause=\"" + e + "\" at=" + place);
            count("part-failed." + part);
            return false;
        }
    }

    /** Returns all inputs, in order. */
    public List<SchedulerInput> inputs() {
        return mInputs;
    }

    /** Adds an output. */
    public void emit(SchedulerOutput output) {
        mOutputs.add(requireNonNull(output));
    }

    /**
     * Writes a structured log line.
     *
     * @param event name of the event
     * @param line the line's {@code key=value} pairs, separated by spaces
     */
    public void log(String event, String line) {
        emit(new SchedulerOutput.Log(event, line));
    }

    /** Increments a counter. */
    public void count(String counter) {
        emit(new SchedulerOutput.Count(counter));
    }

    /** Returns a call id that is unique in this process. */
    public long nextCallId() {
        return mCallIds.getAsLong();
    }

    /** Returns the outputs, in order. */
    public List<SchedulerOutput> outputs() {
        return List.copyOf(mOutputs);
    }
}
