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
 * What a pool can run, as of one tick.
 *
 * @param slots slots of all hosts of the pool that take work
 * @param held slots of the pool that this entry holds
 * @param entries how many entries take work
 * @param capacities the different capacities of its hosts
 */
record PoolCapacity(int slots, int held, int entries, Set<Capacity> capacities) {
    /** Copies the set. */
    PoolCapacity {
        capacities = Set.copyOf(capacities);
    }

    /** Returns the view of a pool. */
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
        return new PoolCapacity(slots, held, entries(world), capacities);
    }

    private static int entries(World world) {
        long active =
                world.membership().record().members().stream()
                        .map(Member::state)
                        .filter(s -> s.mayAllocate())
                        .count();
        return (int) Math.max(1, active);
    }

    boolean hasHosts() {
        return !capacities.isEmpty();
    }

    boolean fits(Capacity needs) {
        return capacities.stream().anyMatch(c -> c.fits(needs));
    }

    /**
     * Returns the least time that requests of one team take to get through this entry, in
     * milliseconds: as if no other team asked and this entry had its even part of the pool.
     */
    double minWaitMs(World world, String team, int upperLimit, int waiting, double meanRunMs) {
        int ownUnits =
                Optional.of(PermitKey.unit(team))
                        .flatMap(k -> world.holdings().find(k))
                        .map(HoldingRow::held)
                        .orElse(0);
        int places = Math.max(held, slots / entries);
        int units = Math.max(ownUnits, upperLimit / entries);
        return waiting * meanRunMs / Math.max(1, Math.min(places, units));
    }
}
