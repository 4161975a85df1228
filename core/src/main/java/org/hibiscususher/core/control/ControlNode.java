package org.hibiscususher.core.control;

import static java.util.Objects.requireNonNull;

import java.util.Arrays;
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
    /** Counter of the systems that ended with an exception. */
    public static final String SYSTEM_FAILED = "tick.system-failed";

    /** Shortest time between two log lines about failed systems, in milliseconds. */
    private static final long FAILURE_LOG_INTERVAL_MS = 1_000;

    private static final String OWN_PACKAGE = "org.hibiscususher.";

    private final World mWorld;
    private final List<? extends TickSystem> mSystems;
    private final MutableLong mLastCallId = new MutableLong();
    private long mFailureLoggedMs = -FAILURE_LOG_INTERVAL_MS;

    private ControlNode(World world, List<? extends TickSystem> systems) {
        mWorld = world;
        mSystems = systems;
    }

    /**
     * Creates the control state of an entry that has just started.
     *
     * @param identity id, incarnation, address and zone of the entry
     * @param settings times and limits of the decisions
     * @param nowMs time of the caller's clock, in milliseconds
     */
    public static ControlNode create(NodeIdentity identity, ControlSettings settings, long nowMs) {
        return create(identity, settings, nowMs, List.of(Phase.values()));
    }

    /** Creates the control state with the systems to run in each tick, in order. */
    static ControlNode create(
            NodeIdentity identity,
            ControlSettings settings,
            long nowMs,
            List<? extends TickSystem> systems) {
        requireNonNull(identity);
        requireNonNull(settings);
        return new ControlNode(World.create(identity, settings, nowMs), List.copyOf(systems));
    }

    /**
     * Runs every system once. If one throws an exception, the others run nevertheless, and no
     * request that has just arrived is left without a decision.
     *
     * @param nowMs time of the caller's clock, in milliseconds; never decreases
     * @param inputs events since the last tick, in order
     * @return actions for the caller to perform, in order
     */
    public List<Output> tick(long nowMs, List<Input> inputs) {
        Tick tick = new Tick(mWorld, nowMs, inputs, mLastCallId::incrementAndGet);
        boolean allRan = true;
        for (TickSystem system : mSystems) {
            allRan &= run(system, tick);
        }
        if (!allRan) {
            UndecidedRequests.refuse(tick);
        }
        mWorld.nodeTable().update(World.SELF, n -> n.withLastTick(nowMs));
        return tick.outputs();
    }

    /** Runs a system; returns whether it ended without an exception. */
    private boolean run(TickSystem system, Tick tick) {
        try {
            system.run(tick);
            return true;
        } catch (RuntimeException e) {
            tick.count(SYSTEM_FAILED);
            if (tick.nowMs() - mFailureLoggedMs >= FAILURE_LOG_INTERVAL_MS) {
                mFailureLoggedMs = tick.nowMs();
                tick.emit(new Output.LogEvent(describe(system, e)));
            }
            return false;
        }
    }

    private static String describe(TickSystem system, RuntimeException cause) {
        String at =
                Arrays.stream(cause.getStackTrace())
                        .filter(f -> f.getClassName().startsWith(OWN_PACKAGE))
                        .map(StackTraceElement::toString)
                        .findFirst()
                        .orElse("unknown");
        return "event=system-failed system=" + system + " cause=\"" + cause + "\" at=" + at;
    }

    /** Returns the tables; for reading between ticks, on the control thread only. */
    public World world() {
        return mWorld;
    }
}
