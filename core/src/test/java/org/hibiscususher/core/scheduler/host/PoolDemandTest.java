package org.hibiscususher.core.scheduler.host;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PoolDemandTest {
    private static final long HOST_CPU = 64_000;
    private static final int RESERVE_PERCENT = 30;

    private static PoolDemand demand(
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

    /** Demand that has risen from a twentieth of its mean to five times the mean. */
    @Nested
    class Surge {
        @Test
        void lacksHostsForTheOfferedLoad() {
            assertThat(demand(2, 10, 0, 500).missingHosts(RESERVE_PERCENT, HOST_CPU)).isEqualTo(9);
        }

        @Test
        void lacksHostsForWaitingTasks() {
            assertThat(demand(2, 128, 300, 0).missingHosts(RESERVE_PERCENT, HOST_CPU)).isEqualTo(5);
        }

        @Test
        void hasNoSurplus() {
            assertThat(demand(12, 100, 0, 500).surplusHosts(80, HOST_CPU, 2)).isZero();
        }
    }

    @Nested
    class LowDemand {
        @Test
        void hasSurplusBeyondItsNeed() {
            assertThat(demand(12, 20, 0, 10).surplusHosts(80, HOST_CPU, 2)).isEqualTo(10);
        }

        @Test
        void keepsMinimumNumberOfHosts() {
            assertThat(demand(3, 0, 0, 0).surplusHosts(80, HOST_CPU, 2)).isEqualTo(1);
        }
    }

    /** Five service tasks, at most one of them per executor, in a pool of two hosts. */
    @Nested
    class Spread {
        private final PoolDemand mDemand =
                new PoolDemand("pool", 2, 12_000, 12_000, 2 * HOST_CPU, 18_000, 5, 3, 0);

        @Test
        void lacksHostsForTheLimitPerExecutor() {
            assertThat(mDemand.missingHosts(RESERVE_PERCENT, HOST_CPU)).isEqualTo(3);
        }

        @Test
        void hasNoSurplusWhileTasksAreStuck() {
            assertThat(mDemand.surplusHosts(80, HOST_CPU, 2)).isZero();
        }
    }
}
