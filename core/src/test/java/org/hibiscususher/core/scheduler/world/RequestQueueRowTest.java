package org.hibiscususher.core.scheduler.world;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The age of the request queue of an owner that decides on submissions in batches. */
class RequestQueueRowTest {
    private static RequestQueueRow decide(RequestQueueRow queue, int submissions) {
        RequestQueueRow row = queue;
        for (int i = 0; i < submissions; i++) {
            row = row.afterDecision();
        }
        return row;
    }

    @Nested
    class LargeTick {
        private final RequestQueueRow mNext = decide(RequestQueueRow.EMPTY, 100).nextTick(200);

        /** Guards against a queue that looks short because its submissions arrived together. */
        @Test
        void tellsWhatEachSubmissionOfTheNextTakes() {
            assertThat(mNext.queueMs()).isEqualTo(200);
            assertThat(decide(mNext, 50).queueMs()).isEqualTo(300);
        }

        /**
         * Guards against a pause of the process that makes every later burst look like overload.
         */
        @Test
        void isForgottenAfterSmallOnes() {
            RequestQueueRow paused = decide(RequestQueueRow.EMPTY, 16).nextTick(2_000);
            assertThat(decide(paused, 10).queueMs()).isLessThanOrEqualTo(2_050);
            RequestQueueRow queue = paused;
            for (int i = 0; i < 8; i++) {
                queue = decide(queue, 3).nextTick(0);
            }
            assertThat(decide(queue, 50).queueMs()).isLessThan(5);
        }

        @Test
        void isForgottenAfterAFastOne() {
            assertThat(decide(decide(mNext, 100).nextTick(1), 50).queueMs()).isLessThan(5);
        }
    }

    @Nested
    class SmallTick {
        /** Guards against load that is seen in a single slow tick of a few submissions. */
        @Test
        void tellsNothingAboutSubmissions() {
            RequestQueueRow queue = decide(RequestQueueRow.EMPTY, 15).nextTick(500).nextTick(0);
            assertThat(decide(queue, 100).queueMs()).isZero();
        }
    }
}
