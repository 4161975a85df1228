package org.hibiscususher.core.maintenance;

import java.util.List;
import org.hibiscususher.core.config.AvailabilityBudget;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.PlatformHostRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Tells whether a pool's availability budget lets one more host go out of service. */
final class BudgetCheck {
    private BudgetCheck() {}

    /**
     * Returns whether a host may be taken out of service.
     *
     * <p>Counts every other host of the pool that is unavailable for whatever reason. Takes time
     * linear in the hosts of the pool.
     *
     * @param hosts all hosts of the pool
     */
    static boolean allows(Tick tick, String pool, List<HostRow> hosts, HostRow candidate) {
        PoolSpec spec = tick.world().configuration().pools().get(pool);
        AvailabilityBudget budget = spec == null ? AvailabilityBudget.ONE_HOST : spec.budget();
        int inPool = 0;
        int inZone = 0;
        for (HostRow host : hosts) {
            if (host.spec().id().equals(candidate.spec().id()) || isAvailable(tick, host)) {
                continue;
            }
            inPool++;
            inZone += host.spec().zone().equals(candidate.spec().zone()) ? 1 : 0;
        }
        return inPool < budget.maxUnavailable() && inZone < budget.maxUnavailablePerZone();
    }

    /** Returns whether a host takes work: in service, not set aside, not lost. */
    static boolean isAvailable(Tick tick, HostRow host) {
        World world = tick.world();
        String id = host.spec().id();
        return host.stage().takesWork()
                && FleetRecords.outage(world, id).isEmpty()
                && host.restUntilMs() <= tick.nowMs()
                && !isLost(world, id);
    }

    /** Returns whether the platform's list shows that a host is gone or going. */
    static boolean isLost(World world, String host) {
        return world.platformHosts().find(host).filter(PlatformHostRow::lost).isPresent();
    }
}
