package org.hibiscususher.standin.bench;

import java.util.List;
import org.hibiscususher.core.world.EscrowPolicy;

/** The ways to share slots that are measured side by side. */
enum Contender {
    /** Permits in escrow, as shipped. */
    ESCROW {
        @Override
        long run(BenchSite site, Scenario scenario, long seed, List<Arrival> work, Meter meter) {
            return new EntriesRun(site, scenario, EscrowPolicy.ESCROW, seed, meter).run(work);
        }
    },
    /** Permits split evenly among the entries for good. */
    STATIC_SPLIT {
        @Override
        long run(BenchSite site, Scenario scenario, long seed, List<Arrival> work, Meter meter) {
            return new EntriesRun(site, scenario, EscrowPolicy.STATIC_SPLIT, seed, meter).run(work);
        }
    },
    /** One queue that knows everything and shares by weight. */
    ALL_KNOWING {
        @Override
        long run(BenchSite site, Scenario scenario, long seed, List<Arrival> work, Meter meter) {
            new IdealQueue(site, scenario.customers(), false, meter).run(work);
            return 0;
        }
    },
    /** One queue that knows everything and starts requests in order of arrival. */
    FIRST_COME {
        @Override
        long run(BenchSite site, Scenario scenario, long seed, List<Arrival> work, Meter meter) {
            new IdealQueue(site, scenario.customers(), true, meter).run(work);
            return 0;
        }
    };

    /** Runs the work, fills the meter and returns the messages sent between entries. */
    abstract long run(
            BenchSite site, Scenario scenario, long seed, List<Arrival> work, Meter meter);
}
