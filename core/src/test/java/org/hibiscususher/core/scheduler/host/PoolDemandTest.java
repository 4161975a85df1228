package org.hibiscususher.core.scheduler.host;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PoolDemandTest {
    private static final long HOST_CPU = 64_000;
    private static final int RESERVE_PERCENT = 30;

    private static PoolDemand need(
            int hosts, long usedCores, long waitingCores, long offeredCores) {
        return new PoolDemand(
                "pool",
                hosts,
                usedCores * 1_000,
                0,
                hosts * HOST_CPU,
                waitingCores * 1_000,
                0,
                0,
                offeredCores * 1_000);
    }

    /** A queue whose demand rises from a twentieth of its mean to five times it. */
    @Nested
    class Surge {
        @Test
        void asksForTheHostsThatKeepUpWithIt() {
            assertThat(need(2, 10, 0, 500).missingHosts(RESERVE_PERCENT, HOST_CPU)).isEqualTo(9);
        }

        @Test
        void asksForTheHostsOfWhatWaitsAlready() {
            assertThat(need(2, 128, 300, 0).missingHosts(RESERVE_PERCENT, HOST_CPU)).isEqualTo(5);
        }

        @Test
        void givesNothingAway() {
            assertThat(need(12, 100, 0, 500).surplusHosts(80, HOST_CPU, 2)).isZero();
        }
    }

    @Nested
    class Valley {
        @Test
        void givesAwayWhatIsNotNeeded() {
            assertThat(need(12, 20, 0, 10).surplusHosts(80, HOST_CPU, 2)).isEqualTo(10);
        }

        @Test
        void keepsTheLeastNumber() {
            assertThat(need(3, 0, 0, 0).surplusHosts(80, HOST_CPU, 2)).isEqualTo(1);
        }
    }

    /** Five tasks of which no two may share an executor, in a pool that was shrunk to two hosts. */
    @Nested
    class Spread {
        private final PoolDemand mNeed =
                new PoolDemand("pool", 2, 12_000, 12_000, 2 * HOST_CPU, 18_000, 5, 3, 0);

        @Test
        void asksForAsManyHostsAsTheWidestStepNeeds() {
            assertThat(mNeed.missingHosts(RESERVE_PERCENT, HOST_CPU)).isEqualTo(3);
        }

        @Test
        void givesNothingAwayWhileTasksWait() {
            assertThat(mNeed.surplusHosts(80, HOST_CPU, 2)).isZero();
        }
    }
}
