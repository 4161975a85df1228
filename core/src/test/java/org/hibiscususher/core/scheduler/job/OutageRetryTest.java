package org.hibiscususher.core.scheduler.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.hibiscususher.core.scheduler.world.StoreHealthRow;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OutageRetryTest {
    private static final long START_MS = 50_000;
    private static final StoreHealthRow STORE = new StoreHealthRow(START_MS, 0, 0);

    /** Callers that are first rejected at some time of an outage, and retry when they are told. */
    @Nested
    class LongOutage {
        private static final long OUTAGE_MS = 8_000;
        private static final int RETRIES = 4;

        /** Returns when the last attempt of a caller is, from the start of the outage. */
        private long lastAttemptMs(long firstMs, int seed) {
            long atMs = firstMs;
            for (int i = 0; i < RETRIES && atMs < OUTAGE_MS; i++) {
                atMs += OutageRetry.afterMs(STORE, START_MS + atMs, seed);
            }
            return atMs;
        }

        @Test
        void isOutlastedByCallersWithFourRetries() {
            for (int seed = 0; seed < 1_000; seed += 100) {
                for (long firstMs = 500; firstMs < OUTAGE_MS; firstMs += 500) {
                    assertThat(lastAttemptMs(firstMs, seed)).isGreaterThanOrEqualTo(OUTAGE_MS);
                }
            }
        }

        @Test
        void endsWithReturnsAtDifferentTimes() {
            Set<Long> times = new HashSet<>();
            for (int i = 0; i < 100; i++) {
                int seed = Integer.toHexString(i * 7919).hashCode();
                times.add(OutageRetry.afterMs(STORE, START_MS + 3_000, seed));
            }
            assertThat(times.size()).isGreaterThan(50);
        }
    }

    @Nested
    class ShortOutage {
        @Test
        void costsAboutASecond() {
            assertThat(OutageRetry.afterMs(STORE, START_MS + 500, 0)).isEqualTo(1_000);
        }
    }
}
