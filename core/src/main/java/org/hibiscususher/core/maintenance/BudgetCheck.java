package org.hibiscususher.core.maintenance;

import java.util.List;
import org.hibiscususher.core.config.AvailabilityBudget;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.PlatformHostRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Checks whether a pool's availability budget lets one more host go out of service. */
final class BudgetCheck {
    private BudgetCheck() {}

    /**
     * Returns whether a host may be taken out of service.
     *
     * <p>Every other host of the pool that is unavailable counts, whatever the reason: the budget
     * protects the pool's capacity, and a failed host lowers it as much as one in maintenance. A
     * pool missing from the configuration may have one host out. Takes time linear in the hosts of
     * the pool.
     *
     * @param pool id of the pool that the candidate serves
     * @param hosts all hosts that serve the pool
     * @param candidate the host to take out; not counted itself
     */
    static boolean allows(Tick tick, String pool, List<HostRow> hosts, HostRow candidate) {
        PoolSpec spec = tick.world().configuration().pools().get(pool);
        AvailabilityBudget budget = spec == null ? AvailabilityBudget.ONE_HOST : spec.budget();
        int unavailableInPool = 0;
        int unavailableInZone = 0;
        for (HostRow host : hosts) {
            if (host.spec().id().equals(candidate.spec().id()) || isAvailable(tick, host)) {
                continue;
            }
            unavailableInPool++;
            unavailableInZone += host.spec().zone().equals(candidate.spec().zone()) ? 1 : 0;
        }
        return unavailableInPool < budget.maxUnavailable()
                && unavailableInZone < budget.maxUnavailablePerZone();
    }

    /** Returns whether a host can run work: in service, not quarantined, not lost. */
    static boolean isAvailable(Tick tick, HostRow host) {
        World world = tick.world();
        String id = host.spec().id();
        return host.stage().acceptsWork()
                && FleetRecords.outage(world, id).isEmpty()
                && host.quarantinedUntilMs() <= tick.nowMs()
                && !isLost(world, id);
    }

    /**
     * Returns whether a host is missing from the platform's newest list, or is listed as leaving.
     *
     * <p>False for a host that was never listed.
     */
    static boolean isLost(World world, String host) {
        return world.platformHosts().find(host).filter(PlatformHostRow::goneOrLeaving).isPresent();
    }
}
