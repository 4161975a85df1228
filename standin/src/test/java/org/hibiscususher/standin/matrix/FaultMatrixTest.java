package org.hibiscususher.standin.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Every fault at every step, alone and in pairs, over the real decisions in virtual time. */
class FaultMatrixTest {
    private static final long SEED = 20_261_204;

    /** One cell that did not hold. */
    private static Stream<String> failures(Step step, List<Fault> faults) {
        Scene.Outcome outcome = new Scene(SEED + step.ordinal()).play(step, faults);
        List<String> found = new ArrayList<>();
        outcome.violations().forEach((p, v) -> found.add(step + " " + faults + " " + p + ": " + v));
        outcome.stuck().forEach(s -> found.add(step + " " + faults + " " + s));
        if (!outcome.reached()) {
            found.add(step + " " + faults + " step not reached");
        }
        return found.stream();
    }

    @Nested
    class SingleFaults {
        @ParameterizedTest
        @EnumSource(Step.class)
        void keepEveryPromise(Step step) {
            List<String> failures =
                    Stream.of(Fault.values())
                            .parallel()
                            .flatMap(f -> failures(step, List.of(f)))
                            .toList();
            assertThat(failures).isEmpty();
        }
    }

    @Nested
    class PairsOfFaults {
        @ParameterizedTest
        @EnumSource(Step.class)
        void keepEveryPromise(Step step) {
            List<List<Fault>> pairs = new ArrayList<>();
            for (Fault first : Fault.values()) {
                for (Fault second : Fault.values()) {
                    if (first.compareTo(second) < 0) {
                        pairs.add(List.of(first, second));
                    }
                }
            }
            List<String> failures = pairs.parallelStream().flatMap(p -> failures(step, p)).toList();
            assertThat(failures).isEmpty();
        }
    }
}
