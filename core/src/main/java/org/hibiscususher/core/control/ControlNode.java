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
 * <p>A tick depends on nothing but the tables, the time and the inputs. Not thread-safe.
 */
public final class ControlNode {
    private final World mWorld;
    private final MutableLong mCallId = new MutableLong();

    private ControlNode(World world) {
        mWorld = world;
    }

    /**
     * Creates the control state of an entry that has just started.
     *
     * @param identity who the entry is
     * @param settings times and limits
     * @param nowMs milliseconds of the caller's clock
     */
    public static ControlNode create(NodeIdentity identity, ControlSettings settings, long nowMs) {
        requireNonNull(identity);
        requireNonNull(settings);
        return new ControlNode(World.create(identity, settings, nowMs));
    }

    /**
     * Runs every system once.
     *
     * @param nowMs milliseconds of the caller's clock; never decreases
     * @param inputs what happened since the last tick, in order
     * @return what is to be done, in order
     */
    public List<Output> tick(long nowMs, List<Input> inputs) {
        Tick tick = new Tick(mWorld, nowMs, inputs, mCallId::incrementAndGet);
        for (Phase phase : Phase.values()) {
            phase.run(tick);
        }
        mWorld.nodeTable().update(World.SELF, n -> n.withLastTick(nowMs));
        return tick.outputs();
    }

    /** Returns the tables, for reading between ticks on the control thread. */
    public World world() {
        return mWorld;
    }
}
