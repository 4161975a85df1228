package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays executors that restart while no entry can see it, over many moments of the restart and of a
 * cut of their links.
 */
class ExecutorsRestartedUnseenTest {
    /** Cuts that are shorter than a lease, about as long, and longer. */
    private static final long[] CUTS_MS = {200, 900, 2_500, 4_500, 6_500, 9_000};

    /** Plays the moments of a restart against heartbeats, with each length of the cut. */
    private static void sweep(
            long seed, LinkState cut, long cutMs, Consumer<SchedulerSite> events) {
        List<String> failures = new ArrayList<>();
        int plays = 0;
        for (long cutForMs : CUTS_MS) {
            for (long restartMs = 1_000; restartMs < 2_000; restartMs += 75) {
                RestartPlay play = new RestartPlay(seed, restartMs, cutMs, cutForMs, cut);
                Optional<String> failure = play.failure(events);
                failure.ifPresent(failures::add);
                plays++;
            }
        }
        String first = failures.isEmpty() ? "" : failures.get(0);
        assertThat(failures.size()).as("failures of %d plays, first: %s", plays, first).isZero();
    }

    private static void nothing(SchedulerSite site) {}

    /** Guards against tasks that run twice since answers of the new incarnation are lost. */
    @Nested
    class CutOneWay {
        @ParameterizedTest
        @ValueSource(longs = {-500, 0, 1, 5, 50, 100, 250, 500, 750, 1_000, 1_500})
        void runsNothingTwice(long cutMs) {
            sweep(cutMs + 600, LinkState.ONE_WAY, cutMs, site -> nothing(site));
        }
    }

    /** Guards against orders that arrive at a later incarnation once the cut ends. */
    @Nested
    class CutThatHoldsCalls {
        @ParameterizedTest
        @ValueSource(longs = {-1_000, -500, -250, -100, -50, 0, 100, 500, 1_000})
        void runsNothingTwice(long cutMs) {
            sweep(cutMs + 1_100, LinkState.HELD, cutMs, site -> nothing(site));
        }
    }

    /** Guards against a new owner that takes the lease of an earlier incarnation for granted. */
    @Nested
    class CutWithAnotherOwner {
        @ParameterizedTest
        @ValueSource(longs = {300, 600, 1_000, 2_000, 3_500})
        void runsNothingTwiceIfTheOwnerIsKilled(long afterMs) {
            sweep(
                    afterMs,
                    LinkState.ONE_WAY,
                    250,
                    site ->
                            site.schedule(
                                    afterMs,
                                    () -> site.owner().ifPresent(o -> site.kill(o, 20_000))));
        }

        @ParameterizedTest
        @ValueSource(longs = {300, 600, 1_000, 2_000, 3_500})
        void runsNothingTwiceIfTheOwnerShutsDown(long afterMs) {
            sweep(
                    afterMs,
                    LinkState.ONE_WAY,
                    250,
                    site ->
                            site.schedule(
                                    afterMs,
                                    () -> site.owner().ifPresent(o -> site.shutDown(o, 3_500))));
        }

        @ParameterizedTest
        @ValueSource(longs = {300, 600, 1_000, 2_000, 3_500})
        void runsNothingTwiceIfTheOwnerIsCutFromTheStore(long afterMs) {
            sweep(
                    afterMs,
                    LinkState.ONE_WAY,
                    250,
                    site ->
                            site.schedule(
                                    afterMs,
                                    () ->
                                            site.owner()
                                                    .ifPresent(
                                                            o -> site.cutOffFromStore(o, 8_000))));
        }
    }

    /** Guards against orders that an executor carries out long after it received them. */
    @Nested
    class Suspension {
        @ParameterizedTest
        @ValueSource(longs = {400, 1_000, 2_000, 4_000, 6_000})
        void runsNothingTwice(long forMs) {
            sweep(
                    forMs,
                    LinkState.OPEN,
                    0,
                    site -> site.schedule(100, () -> site.suspendExecutor("x1", forMs)));
        }

        @Test
        void runsNothingTwiceBeforeACut() {
            sweep(
                    7,
                    LinkState.ONE_WAY,
                    1_500,
                    site -> site.schedule(100, () -> site.suspendExecutor("x1", 2_000)));
        }
    }
}
