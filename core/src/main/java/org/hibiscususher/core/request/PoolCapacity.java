package org.hibiscususher.core.request;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.PermitKind;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.World;

/**
 * The capacity of a pool as of one tick.
 *
 * @param slots slots of all hosts of the pool that are in service
 * @param held slots of the pool for which this entry holds permits
 * @param entries active entries among which the slots are shared, 1 or more
 * @param capacities the distinct capacities of the pool's hosts, whether in service or not
 */
record PoolCapacity(int slots, int held, int entries, Set<Capacity> capacities) {
    /** Copies the set. */
    PoolCapacity {
        capacities = Set.copyOf(capacities);
    }

    /** Computes the capacity of a pool, which may have no hosts. */
    static PoolCapacity of(World world, String pool) {
        int slots = 0;
        Set<Capacity> capacities = new LinkedHashSet<>();
        for (HostRow host : world.hosts().group(pool)) {
            slots += host.stage().acceptsWork() ? host.spec().slots() : 0;
            capacities.add(host.spec().capacity());
        }
        int held = 0;
        for (HoldingRow holding : world.holdings().group(PermitGroup.pool(pool))) {
            held += holding.key().kind() == PermitKind.SLOT ? holding.held() : 0;
        }
        return new PoolCapacity(slots, held, activeEntries(world), capacities);
    }

    private static int activeEntries(World world) {
        long active =
                world.membership().record().members().stream()
                        .map(Member::state)
                        .filter(s -> s.mayAllocate())
                        .count();
        return (int) Math.max(1, active);
    }

    /** Returns whether any host belongs to the pool, whether in service or not. */
    boolean hasHosts() {
        return !capacities.isEmpty();
    }

    /** Returns whether some host of the pool is large enough for the given needs. */
    boolean fits(Capacity needs) {
        return capacities.stream().anyMatch(c -> c.fits(needs));
    }

    /**
     * Returns a lower bound of the wait of a team's next request at this entry, in milliseconds.
     *
     * <p>The bound assumes that no other team has work here, and that this entry gets at least an
     * even part of the pool's slots and of the team's upper limit.
     *
     * @param world the tables of this entry
     * @param team the team
     * @param upperLimit most requests that the team may have running in the whole fleet
     * @param waiting requests of the team that wait in the queue already
     * @param meanRunMs mean run time of the queue's requests, in milliseconds
     */
    double minWaitMs(World world, String team, int upperLimit, int waiting, double meanRunMs) {
        int heldUnits =
                Optional.of(PermitKey.unit(team))
                        .flatMap(k -> world.holdings().find(k))
                        .map(HoldingRow::held)
                        .orElse(0);
        int usableSlots = Math.max(held, slots / entries);
        int usableUnits = Math.max(heldUnits, upperLimit / entries);
        return waiting * meanRunMs / Math.max(1, Math.min(usableSlots, usableUnits));
    }
}
