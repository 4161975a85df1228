package org.hibiscususher.standin.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Shows that the check of each invariant fails on a deliberately broken system and passes on the
 * unmodified one.
 */
class MutantTest {
    private static final long SEED = 11;

    @Nested
    class Mutants {
        @ParameterizedTest
        @EnumSource(Mutant.class)
        void violateTheirInvariants(Mutant mutant) {
            FaultScenario scenario = new FaultScenario(SEED);
            scenario.site().setBeforeTick(mutant::corrupt);
            FaultScenario.Result result = scenario.run(mutant.point(), List.of());
            assertThat(result.violations())
                    .containsKeys(mutant.violated().toArray(Invariant[]::new));
        }
    }

    @Nested
    class UnmodifiedSystem {
        @Test
        void violatesNoInvariantWithoutFaults() {
            FaultScenario.Result result =
                    new FaultScenario(SEED).run(InjectionPoint.REQUEST_WAITING, List.of());
            assertThat(result.violations()).isEmpty();
            assertThat(result.unrecovered()).isEmpty();
        }
    }

    @Nested
    class Invariants {
        @ParameterizedTest
        @EnumSource(Invariant.class)
        void areEachViolatedByAMutant(Invariant invariant) {
            assertThat(Arrays.stream(Mutant.values()).flatMap(m -> m.violated().stream()))
                    .contains(invariant);
        }
    }
}
