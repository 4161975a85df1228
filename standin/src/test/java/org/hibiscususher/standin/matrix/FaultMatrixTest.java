package org.hibiscususher.standin.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Injects every {@link Fault}, alone and in pairs, at every {@link InjectionPoint} and checks every
 * {@link Invariant}. The control nodes are the real ones; network, store, platform and targets are
 * simulated in virtual time. Each run is reproducible: its seed is the base seed plus the ordinal
 * of the injection point.
 */
class FaultMatrixTest {
    private static final long BASE_SEED = 20_261_204;

    /** Runs one cell of the matrix and returns a description of each failure, or nothing. */
    private static Stream<String> failuresOf(InjectionPoint point, List<Fault> faults) {
        FaultScenario.Result result =
                new FaultScenario(BASE_SEED + point.ordinal()).run(point, faults);
        List<String> failures = new ArrayList<>();
        result.violations()
                .forEach(
                        (invariant, v) ->
                                failures.add(point + " " + faults + " " + invariant + ": " + v));
        result.unrecovered().forEach(s -> failures.add(point + " " + faults + " " + s));
        if (!result.reached()) {
            failures.add(point + " " + faults + " injection point not reached");
        }
        return failures.stream();
    }

    @Nested
    class SingleFaults {
        @ParameterizedTest
        @EnumSource(InjectionPoint.class)
        void violateNoInvariant(InjectionPoint point) {
            List<String> failures =
                    Stream.of(Fault.values())
                            .parallel()
                            .flatMap(f -> failuresOf(point, List.of(f)))
                            .toList();
            assertThat(failures).isEmpty();
        }
    }

    @Nested
    class PairsOfFaults {
        @ParameterizedTest
        @EnumSource(InjectionPoint.class)
        void violateNoInvariant(InjectionPoint point) {
            List<List<Fault>> pairs = new ArrayList<>();
            for (Fault first : Fault.values()) {
                for (Fault second : Fault.values()) {
                    if (first.compareTo(second) < 0) {
                        pairs.add(List.of(first, second));
                    }
                }
            }
            List<String> failures =
                    pairs.parallelStream().flatMap(p -> failuresOf(point, p)).toList();
            assertThat(failures).isEmpty();
        }
    }
}
