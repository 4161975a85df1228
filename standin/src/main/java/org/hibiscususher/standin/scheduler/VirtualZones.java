package org.hibiscususher.standin.scheduler;

import static java.util.Objects.requireNonNull;

import java.util.LinkedHashSet;
import java.util.Set;

/** The operators' requests to evacuate zones of a simulated site, as the store keeps them. */
public final class VirtualZones {
    private final VirtualClock mClock;
    private final InvariantChecker mInvariants;
    private final Runnable mOnChange;
    private final Set<String> mEvacuated = new LinkedHashSet<>();

    VirtualZones(VirtualClock clock, InvariantChecker invariants, Runnable onChange) {
        mClock = requireNonNull(clock);
        mInvariants = requireNonNull(invariants);
        mOnChange = requireNonNull(onChange);
    }

    /** Returns the zone of the executor with a number; they alternate between two. */
    static String zoneOf(int executor) {
        return "z" + executor % 2;
    }

    /**
     * Writes the request to evacuate a zone to the store.
     *
     * @param withinMs time after which no run may start in the zone, in milliseconds
     */
    public void evacuate(String zone, long withinMs) {
        mEvacuated.add(zone);
        mInvariants.forbidStartsInZone(zone, mClock.nowMs() + withinMs);
        mOnChange.run();
    }

    /** Removes the request to evacuate a zone from the store. */
    public void restore(String zone) {
        mEvacuated.remove(zone);
        mInvariants.allowStartsInZone(zone);
        mOnChange.run();
    }

    /** Returns the zones whose evacuation is requested. */
    Set<String> evacuated() {
        return Set.copyOf(mEvacuated);
    }
}
