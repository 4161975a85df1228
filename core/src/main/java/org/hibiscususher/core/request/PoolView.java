package org.hibiscususher.core.request;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.message.Member;
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
record PoolView(int slots, int held, int entries, Set<Capacity> capacities) {
    private static final PoolView EMPTY = new PoolView(0, 0, 1, Set.of());

    /** Copies the set. */
    PoolView {
        capacities = Set.copyOf(capacities);
    }

    /** Returns a view of each pool that has hosts, in one pass over hosts and holdings. */
    static Map<String, PoolView> all(World world) {
        Map<String, Integer> slots = new HashMap<>();
        Map<String, Set<Capacity>> capacities = new HashMap<>();
        for (HostRow host : world.hosts().rows()) {
            int own = host.stage().takesWork() ? host.spec().slots() : 0;
            slots.merge(host.pool(), own, Integer::sum);
            capacities
                    .computeIfAbsent(host.pool(), p -> new LinkedHashSet<>())
                    .add(host.spec().capacity());
        }
        Map<String, Integer> held = new HashMap<>();
        for (HoldingRow holding : world.holdings().rows()) {
            if (holding.key().kind() == PermitKind.SLOT) {
                held.merge(holding.key().group(), holding.held(), Integer::sum);
            }
        }
        int entries = entries(world);
        Map<String, PoolView> views = new HashMap<>();
        capacities.forEach(
                (pool, sizes) ->
                        views.put(
                                pool,
                                new PoolView(
                                        slots.get(pool),
                                        held.getOrDefault(pool, 0),
                                        entries,
                                        sizes)));
        return views;
    }

    private static int entries(World world) {
        long active =
                world.membership().record().members().stream()
                        .map(Member::state)
                        .filter(s -> s.allocates())
                        .count();
        return (int) Math.max(1, active);
    }

    /** Returns the view of a pool, which is empty if the pool has no hosts. */
    static PoolView of(Map<String, PoolView> views, String pool) {
        return views.getOrDefault(pool, EMPTY);
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
    double leastWaitMs(World world, String team, int upperLimit, int waiting, double meanRunMs) {
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
