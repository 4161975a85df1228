package org.hibiscususher.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JobTraceTest {
    private static final List<String> LOGS =
            List.of(
                    "   1.2 e1 ms=5000 node=e1 event=start job=aa task=aa.0.0.0 executor=x1",
                    "ms=4000 node=e1 event=accepted job=aa age_ms=5",
                    "ms=4500 node=e1 event=accepted job=bb age_ms=5",
                    "ms=5500 node=e1 event=executor-silent executor=x1 failure=NO_ANSWER",
                    "ms=5600 node=e1 event=executor-silent executor=x2 failure=NO_ANSWER",
                    "ms=6000 node=e2 event=owner-taken generation=2 fence=9",
                    "ms=90000 node=e2 event=owner-taken generation=3 fence=99",
                    "not a structured log line");

    @Nested
    class Trace {
        private final List<String> mTrace = JobTrace.of("aa", LOGS);

        @Test
        void ordersLinesAboutJobByTime() {
            assertThat(mTrace.get(0)).contains("accepted").contains("+0 ms");
            assertThat(mTrace.get(1)).contains("start").contains("+1000 ms");
        }

        @Test
        void includesEventsOfItsExecutorsAndOfOwnership() {
            assertThat(mTrace).hasSize(4);
            assertThat(mTrace.get(2)).contains("executor=x1");
            assertThat(mTrace.get(3)).contains("fence=9");
        }

        @Test
        void isEmptyForUnknownJob() {
            assertThat(JobTrace.of("cc", LOGS)).isEmpty();
        }
    }
}
