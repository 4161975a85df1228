package org.hibiscususher.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JobSpecTest {
    private static final Resources CORE = Resources.of(1_000, 100, 0);

    private static StepSpec step(int count, long estimateMs, Integer... after) {
        return StepSpec.of(count, CORE, estimateMs, List.of(after));
    }

    @Nested
    class ChainMs {
        @Test
        void isTheLongestPathThroughTheSteps() {
            JobSpec spec =
                    JobSpec.once("x", List.of(step(2, 100), step(9, 500), step(1, 50, 0, 1)));
            assertThat(spec.criticalPathMs()).isEqualTo(550);
        }
    }

    @Nested
    class WorkMs {
        @Test
        void countsCoresTimesTime() {
            assertThat(JobSpec.once("x", List.of(step(4, 250))).workCoreMs()).isEqualTo(1_000);
        }
    }

    @Nested
    class Problem {
        @Test
        void isNoneForStepsThatWaitForEarlierOnes() {
            assertThat(JobSpec.once("x", List.of(step(1, 1), step(1, 1, 0))).validationError())
                    .isEmpty();
        }

        @Test
        void isAStepThatWaitsForItselfOrALaterOne() {
            assertThat(JobSpec.once("x", List.of(step(1, 1, 0))).validationError())
                    .contains("step 0");
        }

        @Test
        void isAStepWithoutTasks() {
            assertThat(JobSpec.once("x", List.of(step(0, 1))).validationError())
                    .contains("no tasks");
        }

        @Test
        void isAJobWithoutSteps() {
            assertThat(JobSpec.once("x", List.of()).validationError()).isNotEmpty();
        }
    }
}
