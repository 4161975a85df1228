package org.hibiscususher.standin.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Shows that each checker of the fault matrix fails on a system that is broken on purpose. */
class MutantTest {
    private static final long SEED = 11;

    @Nested
    class Broken {
        @ParameterizedTest
        @EnumSource(Mutant.class)
        void isFound(Mutant mutant) {
            Scene scene = new Scene(SEED);
            scene.site().setBeforeTick(mutant::tamper);
            Scene.Outcome outcome = scene.play(mutant.step(), List.of());
            assertThat(outcome.violations()).containsKeys(mutant.broken().toArray(Promise[]::new));
        }
    }

    @Nested
    class Sound {
        @Test
        void breaksNothingWithoutFaults() {
            Scene.Outcome outcome = new Scene(SEED).play(Step.REQUEST_WAITING, List.of());
            assertThat(outcome.violations()).isEmpty();
            assertThat(outcome.stuck()).isEmpty();
        }
    }

    @Nested
    class Checkers {
        @ParameterizedTest
        @EnumSource(Promise.class)
        void haveMutants(Promise promise) {
            assertThat(Arrays.stream(Mutant.values()).flatMap(m -> m.broken().stream()))
                    .contains(promise);
        }
    }
}
