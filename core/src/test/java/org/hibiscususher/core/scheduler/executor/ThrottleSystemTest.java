package org.hibiscususher.core.scheduler.executor;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ThrottleSystemTest {
    @Nested
    class Next {
        @Test
        void stopsFillersOnceATailReachesItsGoal() {
            assertThat(ThrottleSystem.nextSpeedPercent(100, 100)).isZero();
        }

        @Test
        void slowsFillersNearTheGoal() {
            assertThat(ThrottleSystem.nextSpeedPercent(80, 85)).isEqualTo(40);
        }

        @Test
        void leavesFillersWhereTheyAreInBetween() {
            assertThat(ThrottleSystem.nextSpeedPercent(40, 70)).isEqualTo(40);
        }

        @Test
        void speedsFillersUpInStepsWellBelowTheGoal() {
            assertThat(ThrottleSystem.nextSpeedPercent(40, 20)).isEqualTo(60);
            assertThat(ThrottleSystem.nextSpeedPercent(90, -1)).isEqualTo(100);
        }
    }
}
