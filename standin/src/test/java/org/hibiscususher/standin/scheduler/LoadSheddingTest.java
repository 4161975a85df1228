package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hibiscususher.standin.scheduler.SiteFlood.FLOODING;
import static org.hibiscususher.standin.scheduler.SiteFlood.OTHER;

import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.standin.scheduler.SiteFlood.Answer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Floods of one team against an owner that decides on a limited number of submissions a second.
 * Without the limit of the entries, the callers of all teams wait until their forwards time out.
 */
class LoadSheddingTest {
    private static final long FLOOD_MS = 3_000;
    private static final long DRAIN_MS = 4_000;

    /** Time within which an entry answers by itself, with the links to the caller. */
    private static final long AT_ONCE_MS = 10;

    /**
     * Time within which the other team is answered while the owner is saturated. A tick of the
     * owner takes up to 110 ms then, and an answer needs three.
     */
    private static final long ANSWERED_MS = 450;

    /** Time for which callers wait for an answer. */
    private static final long DEADLINE_MS = 3_000;

    /**
     * Least part of the other team's submissions that is accepted, in percent. With the least
     * limit, a team has two submissions at an entry for certain; a third one at the same time is
     * refused.
     */
    private static final long ACCEPTED_PERCENT = 97;

    private static SiteFlood play(int multiple) {
        SiteFlood flood = SiteFlood.create();
        flood.submit(FLOODING, multiple, FLOOD_MS);
        flood.submit(OTHER, 1, FLOOD_MS);
        flood.site().run(FLOOD_MS + DRAIN_MS);
        assertThat(flood.site().invariants().violations()).isEmpty();
        return flood;
    }

    @Nested
    class LoadThatTheOwnerCanHandle {
        /** Guards against a limit that refuses submissions without need. */
        @ParameterizedTest
        @ValueSource(ints = {1, 2})
        void isAcceptedEntirely(int multiple) {
            SiteFlood flood = play(multiple);
            assertThat(flood.acceptedPercent(FLOODING)).isEqualTo(100);
            assertThat(flood.acceptedPercent(OTHER)).isEqualTo(100);
        }
    }

    @Nested
    class FloodOfOneTeam {
        /** Guards against waits of all teams behind the submissions of one. */
        @ParameterizedTest
        @ValueSource(ints = {5, 10})
        void leavesTheOtherTeamAccepted(int multiple) {
            SiteFlood flood = play(multiple);
            assertThat(flood.acceptedPercent(OTHER)).isGreaterThanOrEqualTo(ACCEPTED_PERCENT);
            assertThat(flood.latencyP95Ms(OTHER)).isLessThan(ANSWERED_MS);
        }

        /** Guards against refusals that come only when a time-out has passed. */
        @ParameterizedTest
        @ValueSource(ints = {5, 10})
        void isRefusedAtOnceWithATimeToRetry(int multiple) {
            SiteFlood flood = play(multiple);
            assertThat(flood.answers(FLOODING))
                    .allMatch(a -> a.isAccepted() || a.isOverloaded())
                    .filteredOn(Answer::isOverloaded)
                    .isNotEmpty()
                    .allMatch(a -> a.tookMs() <= AT_ONCE_MS)
                    .allMatch(a -> a.response().retryAfterMs() >= 1_000);
        }
    }

    @Nested
    class OwnerDiesDuringAFlood {
        /**
         * Guards against callers that wait for a dead owner, and against refusals of what it had
         * accepted. Only callers of the killed entry itself get no answer.
         */
        @Test
        void leavesNoOtherCallerWithoutAnAnswer() {
            SiteFlood flood = SiteFlood.create();
            long killedMs = flood.site().clock().nowMs() + 1_000;
            flood.submit(FLOODING, 10, FLOOD_MS);
            flood.site().schedule(1_000, () -> flood.site().kill(flood.site().owner().get(), 500));
            flood.site().run(FLOOD_MS + DRAIN_MS);
            assertThat(flood.site().invariants().violations()).isEmpty();
            assertThat(flood.answers(FLOODING))
                    .allMatch(a -> a.tookMs() < DEADLINE_MS || a.sentMs() <= killedMs)
                    .filteredOn(a -> a.response().kind() == JobResponseKind.UNKNOWN)
                    .hasSizeLessThan(100);
        }

        /** Guards against a new owner that is brought down by all that has waited for it. */
        @Test
        void leavesTheNextOwnerInService() {
            SiteFlood flood = SiteFlood.create();
            flood.submit(FLOODING, 10, FLOOD_MS);
            flood.site().schedule(1_000, () -> flood.site().kill(flood.site().owner().get(), 500));
            flood.site().run(FLOOD_MS + 2_000);
            flood.submit(OTHER, 1, 1_000);
            flood.site().run(DRAIN_MS);
            assertThat(flood.acceptedPercent(OTHER)).isEqualTo(100);
            assertThat(flood.site().logLines())
                    .filteredOn(line -> line.contains("event=owner-taken"))
                    .hasSize(2);
        }
    }
}
