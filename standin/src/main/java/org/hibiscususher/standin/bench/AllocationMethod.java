package org.hibiscususher.standin.bench;

import java.util.List;
import org.hibiscususher.core.world.EscrowPolicy;

/**
 * The methods of allocating slots to customers that are compared.
 *
 * <p>The first two run real control nodes. The last two are references that see all requests and
 * slots of the site without delay, which no distributed system can. The names are written to the
 * results.
 */
enum AllocationMethod {
    /** Allocators grant permits to entries by demand and recall them, as released. */
    ESCROW {
        @Override
        long run(
                BenchSite site,
                Scenario scenario,
                long seed,
                List<Arrival> arrivals,
                BenchMetrics metrics) {
            return new EntrySimulation(site, scenario, EscrowPolicy.ESCROW, seed, metrics)
                    .run(arrivals);
        }
    },
    /** Each entry keeps an even part of the permits, whatever its demand. */
    STATIC_SPLIT {
        @Override
        long run(
                BenchSite site,
                Scenario scenario,
                long seed,
                List<Arrival> arrivals,
                BenchMetrics metrics) {
            return new EntrySimulation(site, scenario, EscrowPolicy.STATIC_SPLIT, seed, metrics)
                    .run(arrivals);
        }
    },
    /** A central scheduler that starts requests by weighted share. */
    ALL_KNOWING {
        @Override
        long run(
                BenchSite site,
                Scenario scenario,
                long seed,
                List<Arrival> arrivals,
                BenchMetrics metrics) {
            new CentralScheduler(site, scenario.customers(), false, metrics).run(arrivals);
            return 0;
        }
    },
    /** A central scheduler that starts requests in order of arrival. */
    FIRST_COME {
        @Override
        long run(
                BenchSite site,
                Scenario scenario,
                long seed,
                List<Arrival> arrivals,
                BenchMetrics metrics) {
            new CentralScheduler(site, scenario.customers(), true, metrics).run(arrivals);
            return 0;
        }
    };

    /**
     * Runs a workload.
     *
     * @param seed seed of the simulated network and entries; unused by central schedulers
     * @param arrivals requests in order of arrival
     * @param metrics gets a sample every millisecond and the waits of quick requests
     * @return messages sent between entries; 0 for central schedulers
     */
    abstract long run(
            BenchSite site,
            Scenario scenario,
            long seed,
            List<Arrival> arrivals,
            BenchMetrics metrics);
}
