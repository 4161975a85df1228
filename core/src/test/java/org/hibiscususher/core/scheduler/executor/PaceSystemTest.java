package org.hibiscususher.core.scheduler.executor;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PaceSystemTest {
    @Nested
    class Next {
        @Test
        void stopsFillersOnceATailReachesItsGoal() {
            assertThat(PaceSystem.next(100, 100)).isZero();
        }

        @Test
        void slowsFillersNearTheGoal() {
            assertThat(PaceSystem.next(80, 85)).isEqualTo(40);
        }

        @Test
        void leavesFillersWhereTheyAreInBetween() {
            assertThat(PaceSystem.next(40, 70)).isEqualTo(40);
        }

        @Test
        void speedsFillersUpInStepsWellBelowTheGoal() {
            assertThat(PaceSystem.next(40, 20)).isEqualTo(60);
            assertThat(PaceSystem.next(90, -1)).isEqualTo(100);
        }
    }
}
