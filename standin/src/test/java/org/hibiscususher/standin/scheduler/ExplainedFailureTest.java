package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.job.JobState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Breaks a request in three ways, and finds the cause from its id and the log lines alone. */
class ExplainedFailureTest {
    private final SchedulerSite mSite = SchedulerSite.create(3, 4, 11);

    @BeforeEach
    void start() {
        mSite.run(1_500);
    }

    /** Returns the lines that name an id, in order. */
    private List<String> lines(String id) {
        return mSite.logLines().stream().filter(line -> line.contains(id)).toList();
    }

    private static String event(List<String> lines, String event) {
        return lines.stream()
                .filter(line -> line.contains("event=" + event + " "))
                .findFirst()
                .orElse("");
    }

    private static String field(String line, String name) {
        int start = line.indexOf(" " + name + "=") + name.length() + 2;
        int end = line.indexOf(' ', start);
        return line.substring(start, end < 0 ? line.length() : end);
    }

    @Nested
    class Refused {
        @Test
        void isExplainedByTheStoreThatIsAway() {
            mSite.submit(Jobs.oneStep(1, 100));
            mSite.storeDown(4_000);
            mSite.run(1_200);
            String job = mSite.submit(Jobs.oneStep(1, 100));
            mSite.run(1_500);
            String refused = event(lines(job), "refused");
            assertThat(field(refused, "reason")).isEqualTo("store-away");
            assertThat(event(mSite.logLines(), "commit-failed")).isNotEmpty();
        }
    }

    @Nested
    class Late {
        @Test
        void isExplainedByTheChangeOfOwner() {
            String job = mSite.submit(Jobs.twoSteps(4, 400));
            mSite.run(300);
            String before = mSite.owner().orElseThrow();
            mSite.kill(before, 20_000);
            mSite.run(8_000);
            assertThat(mSite.stateOf(job)).isEqualTo(JobState.DONE);
            String accepted = event(lines(job), "accepted");
            String ended = event(lines(job), "ended");
            assertThat(Long.parseLong(field(ended, "age_ms")))
                    .isGreaterThan(Long.parseLong(field(ended, "objective_ms")));
            assertThat(field(accepted, "node")).isEqualTo(before);
            String taken =
                    mSite.logLines().stream()
                            .filter(line -> line.contains("event=owner-taken "))
                            .filter(line -> line.contains("predecessor=" + before))
                            .findFirst()
                            .orElse("");
            assertThat(Long.parseLong(field(" " + taken, "ms")))
                    .isBetween(
                            Long.parseLong(field(" " + accepted, "ms")),
                            Long.parseLong(field(" " + ended, "ms")));
        }
    }

    @Nested
    class CancelledButRunningOn {
        @Test
        void isExplainedByTheSilentExecutor() {
            String job = mSite.submit(Jobs.oneStep(1, 9_000));
            mSite.run(400);
            String executor = field(event(lines(job), "start"), "executor");
            mSite.silenceExecutor(executor, 3_000);
            mSite.cancel(job);
            mSite.run(2_500);
            List<String> lines = lines(job);
            assertThat(field(event(lines, "ended"), "state")).isEqualTo("CANCELLED");
            assertThat(field(event(lines, "stop"), "reason")).isEqualTo("JOB_ENDED");
            assertThat(event(lines, "run-ended")).isEmpty();
            assertThat(event(lines(executor), "executor-silent")).contains("lease_left_ms=");
        }
    }
}
