package org.hibiscususher.core.control;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.agrona.collections.MutableLong;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.NodeIdentity;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * The control state of one entry and the systems that run over it.
 *
 * <p>The outputs of a tick depend only on the tables, the time and the inputs, so a run can be
 * repeated exactly. Not thread-safe: it belongs to the control thread.
 */
public final class ControlNode {
    private final World mWorld;
    private final MutableLong mLastCallId = new MutableLong();

    private ControlNode(World world) {
        mWorld = world;
    }

    /**
     * Creates the control state of an entry that has just started.
     *
     * @param identity id, incarnation, address and zone of the entry
     * @param settings times and limits of the decisions
     * @param nowMs time of the caller's clock, in milliseconds
     */
    public static ControlNode create(NodeIdentity identity, ControlSettings settings, long nowMs) {
        requireNonNull(identity);
        requireNonNull(settings);
        return new ControlNode(World.create(identity, settings, nowMs));
    }

    /**
     * Runs every system once.
     *
     * @param nowMs time of the caller's clock, in milliseconds; never decreases
     * @param inputs events since the last tick, in order
     * @return actions for the caller to perform, in order
     */
    public List<Output> tick(long nowMs, List<Input> inputs) {
        Tick tick = new Tick(mWorld, nowMs, inputs, mLastCallId::incrementAndGet);
        for (Phase phase : Phase.values()) {
            phase.run(tick);
        }
        mWorld.nodeTable().update(World.SELF, n -> n.withLastTick(nowMs));
        return tick.outputs();
    }

    /** Returns the tables; for reading between ticks, on the control thread only. */
    public World world() {
        return mWorld;
    }
}
