package org.hibiscususher.core.scheduler.executor;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ThrottleSystemTest {
    @Nested
    class NextSpeed {
        @Test
        void pausesAtTheGoal() {
            assertThat(ThrottleSystem.nextSpeedPercent(100, 100)).isZero();
        }

        @Test
        void halvesNearTheGoal() {
            assertThat(ThrottleSystem.nextSpeedPercent(80, 85)).isEqualTo(40);
        }

        @Test
        void keepsSpeedBetweenTheThresholds() {
            assertThat(ThrottleSystem.nextSpeedPercent(40, 70)).isEqualTo(40);
        }

        @Test
        void speedsUpInStepsWellBelowTheGoal() {
            assertThat(ThrottleSystem.nextSpeedPercent(40, 20)).isEqualTo(60);
            assertThat(ThrottleSystem.nextSpeedPercent(90, -1)).isEqualTo(100);
        }
    }
}
