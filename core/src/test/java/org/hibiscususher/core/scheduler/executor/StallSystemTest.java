package org.hibiscususher.core.scheduler.executor;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StallSystemTest {
    /** Executors that take six times as long, among sound ones. */
    @Nested
    class IsSlow {
        @Test
        void findsARunThatTakesSixTimesItsEstimate() {
            assertThat(StallSystem.isSlow(1_000, 26, 640)).isTrue();
        }

        @Test
        void sparesARunThatIsALittleLate() {
            assertThat(StallSystem.isSlow(1_000, 70, 640)).isFalse();
        }

        @Test
        void sparesARunThatIsNearlyDone() {
            assertThat(StallSystem.isSlow(3_500, 90, 640)).isFalse();
        }

        @Test
        void judgesNoYoungRun() {
            assertThat(StallSystem.isSlow(200, 0, 640)).isFalse();
        }

        @Test
        void judgesNoRunWithoutAnEstimate() {
            assertThat(StallSystem.isSlow(9_000, 1, 0)).isFalse();
        }
    }
}
