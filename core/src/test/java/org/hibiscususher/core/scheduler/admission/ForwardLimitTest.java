package org.hibiscususher.core.scheduler.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.scheduler.world.ForwardLimitRow;
import org.hibiscususher.core.scheduler.world.ForwardRates;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The limit of unanswered submissions, of 16 at first. */
class ForwardLimitTest {
    private static final long NOW_MS = 10_000;
    private static final ForwardLimitRow INITIAL = ForwardLimitRow.initial(Optional.empty(), 0);

    @Nested
    class Admission {
        private static boolean admits(String team, Map<String, Integer> unanswered) {
            return ForwardLimit.admits(INITIAL, new UnansweredForwards(unanswered), team);
        }

        @Test
        void passesAnyTeamBelowTheLimit() {
            assertThat(admits("a", Map.of("a", 15))).isTrue();
            assertThat(admits("a", Map.of("a", 16))).isFalse();
        }

        /** Guards against a flood that keeps the other teams out. */
        @Test
        void passesTeamsWithinTheirEvenPart() {
            assertThat(admits("b", Map.of("a", 16))).isTrue();
            assertThat(admits("b", Map.of("a", 16, "b", 7))).isTrue();
            assertThat(admits("b", Map.of("a", 16, "b", 8))).isFalse();
            assertThat(admits("a", Map.of("a", 15, "b", 1))).isFalse();
        }

        /** Guards against refusals of the others while the flood of one is still unanswered. */
        @Test
        void passesTeamsWithinTheirPartAfterAReduction() {
            assertThat(admits("b", Map.of("a", 40))).isTrue();
        }

        /** Guards against a total that grows with the number of teams. */
        @Test
        void passesAtMostTwiceTheLimit() {
            Map<String, Integer> unanswered = new HashMap<>();
            for (int i = 0; i < 32; i++) {
                unanswered.put("team" + i, 1);
            }
            assertThat(admits("new", unanswered)).isFalse();
        }
    }

    @Nested
    class Adjustment {
        @Test
        void growsOnlyInUseAndWithAShortQueue() {
            assertThat(ForwardLimit.afterAnswer(INITIAL, 49, 8, NOW_MS).limit()).isEqualTo(17);
            assertThat(ForwardLimit.afterAnswer(INITIAL, 49, 7, NOW_MS)).isEqualTo(INITIAL);
            assertThat(ForwardLimit.afterAnswer(INITIAL, 50, 16, NOW_MS)).isEqualTo(INITIAL);
            assertThat(ForwardLimit.afterAnswer(INITIAL, 150, 16, NOW_MS)).isEqualTo(INITIAL);
        }

        /** Guards against one long queue that brings the limit to its least by all its answers. */
        @Test
        void isHalvedOnceInAHundredMilliseconds() {
            ForwardLimitRow halved = ForwardLimit.afterAnswer(INITIAL, 151, 1, NOW_MS);
            assertThat(halved.limit()).isEqualTo(8);
            assertThat(ForwardLimit.afterTimeout(halved, NOW_MS + 99)).isEqualTo(halved);
            assertThat(ForwardLimit.afterTimeout(halved, NOW_MS + 100).limit()).isEqualTo(4);
        }

        @Test
        void staysWithinItsBounds() {
            ForwardLimitRow least = INITIAL.halved(1).halved(2).halved(3);
            assertThat(least.limit()).isEqualTo(4);
            ForwardLimitRow greatest = INITIAL;
            for (int i = 0; i < 300; i++) {
                greatest = greatest.increased();
            }
            assertThat(greatest.limit()).isEqualTo(256);
        }
    }

    @Nested
    class RetryTime {
        /** Guards against callers that all return before the owner can answer them. */
        @Test
        void growsWithTheRefusalsForEachAnswer() {
            ForwardRates rates = new ForwardRates(NOW_MS, 10, 39).withRefusal(NOW_MS + 999);
            assertThat(rates.catchUpMs()).isEqualTo(4_000);
            assertThat(rates.withAnswer(NOW_MS + 5_000).refused()).isEqualTo(1);
        }
    }
}
