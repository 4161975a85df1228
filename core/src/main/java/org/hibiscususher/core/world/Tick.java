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
 * One run of all systems: the time, what happened since the last one, and what is to be done.
 *
 * <p>Not thread-safe. Systems read the inputs, change the tables and emit outputs.
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
     * @param nowMs milliseconds of the caller's clock; never decreases
     * @param inputs what happened since the last tick, in order
     * @param callIds gives ids of store calls
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

    /** Returns the time in milliseconds of the caller's clock. */
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

    /** Adds something to be done. */
    public void emit(Output output) {
        mOutputs.add(requireNonNull(output));
    }

    /** Adds something to the next message to a member. */
    public void send(String memberId, PeerItem item) {
        mItems.computeIfAbsent(memberId, id -> new ArrayList<>()).add(requireNonNull(item));
    }

    /** Returns what this tick has to say to a member, in order. */
    public List<PeerItem> itemsFor(String memberId) {
        return List.copyOf(mItems.getOrDefault(memberId, List.of()));
    }

    /** Counts an event by reason. */
    public void count(String counter) {
        emit(new Output.Count(counter));
    }

    /** Returns an id for a store call, unique in this process. */
    public long nextCallId() {
        return mCallIds.getAsLong();
    }

    /** Returns what is to be done, in order. */
    public List<Output> outputs() {
        return List.copyOf(mOutputs);
    }
}
