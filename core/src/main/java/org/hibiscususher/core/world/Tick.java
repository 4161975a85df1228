package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.core.message.PeerItem;

/**
 * One run of all systems: gives them the time, the inputs since the last run and the tables, and
 * collects their outputs.
 *
 * <p>The tick clock is the time that the caller passes to each tick; it never decreases, and all
 * times in the tables are of this clock unless stated otherwise.
 *
 * <p>Not thread-safe.
 */
public final class Tick {
    private final World mWorld;
    private final long mNowMs;
    private final List<Input> mInputs;
    private final LongSupplier mCallIds;
    private final Map<String, List<PeerItem>> mItems = new LinkedHashMap<>();
    private final List<Output> mOutputs = new ArrayList<>();

    /**
     * Creates a tick.
     *
     * @param world the tables
     * @param nowMs time of the tick clock in milliseconds; never decreases
     * @param inputs the inputs since the last tick, in order
     * @param callIds generates ids of store calls
     */
    public Tick(World world, long nowMs, List<Input> inputs, LongSupplier callIds) {
        mWorld = requireNonNull(world);
        mNowMs = nowMs;
        mInputs = List.copyOf(inputs);
        mCallIds = requireNonNull(callIds);
    }

    /** Returns the tables. */
    public World world() {
        return mWorld;
    }

    /** Returns the time of the tick clock in milliseconds. */
    public long nowMs() {
        return mNowMs;
    }

    /** Returns the inputs of one type, in order. */
    public <T extends Input> List<T> inputs(Class<T> type) {
        List<T> found = new ArrayList<>();
        for (Input input : mInputs) {
            if (type.isInstance(input)) {
                found.add(type.cast(input));
            }
        }
        return found;
    }

    /** Adds an action to carry out after the tick. */
    public void emit(Output output) {
        mOutputs.add(requireNonNull(output));
    }

    /** Adds an item to the message that the tick sends to a member. */
    public void send(String memberId, PeerItem item) {
        mItems.computeIfAbsent(memberId, id -> new ArrayList<>()).add(requireNonNull(item));
    }

    /** Returns the items added for a member, in order. */
    public List<PeerItem> itemsFor(String memberId) {
        return List.copyOf(mItems.getOrDefault(memberId, List.of()));
    }

    /** Increments a counter. */
    public void count(String counter) {
        emit(new Output.Count(counter));
    }

    /** Returns an id for a store call, unique in this process. */
    public long nextCallId() {
        return mCallIds.getAsLong();
    }

    /** Returns the actions to carry out, in order. */
    public List<Output> outputs() {
        return List.copyOf(mOutputs);
    }
}
