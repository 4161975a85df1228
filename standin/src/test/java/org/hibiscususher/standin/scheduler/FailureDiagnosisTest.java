package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.job.JobState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that log lines alone explain why a job was refused, was late or kept running. */
class FailureDiagnosisTest {
    private final SchedulerSite mSite = SchedulerSite.create(3, 4, 11);

    @BeforeEach
    void startEntries() {
        mSite.run(1_500);
    }

    /** Returns the log lines that contain an id, in order. */
    private List<String> linesWith(String id) {
        return mSite.logLines().stream().filter(line -> line.contains(id)).toList();
    }

    /** Returns the first line with an event, or an empty line. */
    private static String firstLineOf(List<String> lines, String event) {
        return lines.stream()
                .filter(line -> line.contains("event=" + event + " "))
                .findFirst()
                .orElse("");
    }

    /** Returns the value of a field {@code name=value}; a space must precede the name. */
    private static String field(String line, String name) {
        int start = line.indexOf(" " + name + "=") + name.length() + 2;
        int end = line.indexOf(' ', start);
        return line.substring(start, end < 0 ? line.length() : end);
    }

    @Nested
    class RefusedJob {
        @Test
        void isExplainedByUnreachableStore() {
            mSite.submit(JobSpecs.oneStep(1, 100));
            mSite.storeDown(4_000);
            mSite.run(1_200);
            String job = mSite.submit(JobSpecs.oneStep(1, 100));
            mSite.run(1_500);
            String refusal = firstLineOf(linesWith(job), "refused");
            assertThat(field(refusal, "reason")).isEqualTo("store-away");
            assertThat(firstLineOf(mSite.logLines(), "commit-failed")).isNotEmpty();
        }
    }

    @Nested
    class LateJob {
        @Test
        void isExplainedByChangeOfOwner() {
            String job = mSite.submit(JobSpecs.twoSteps(4, 400));
            mSite.run(300);
            String formerOwner = mSite.owner().orElseThrow();
            mSite.kill(formerOwner, 20_000);
            mSite.run(8_000);
            assertThat(mSite.stateOf(job)).isEqualTo(JobState.DONE);
            String accepted = firstLineOf(linesWith(job), "accepted");
            String ended = firstLineOf(linesWith(job), "ended");
            assertThat(Long.parseLong(field(ended, "age_ms")))
                    .isGreaterThan(Long.parseLong(field(ended, "objective_ms")));
            assertThat(field(accepted, "node")).isEqualTo(formerOwner);
            String takeover =
                    mSite.logLines().stream()
                            .filter(line -> line.contains("event=owner-taken "))
                            .filter(line -> line.contains("predecessor=" + formerOwner))
                            .findFirst()
                            .orElse("");
            assertThat(Long.parseLong(field(" " + takeover, "ms")))
                    .isBetween(
                            Long.parseLong(field(" " + accepted, "ms")),
                            Long.parseLong(field(" " + ended, "ms")));
        }
    }

    @Nested
    class CancelledJobThatKeepsRunning {
        @Test
        void isExplainedBySilentExecutor() {
            String job = mSite.submit(JobSpecs.oneStep(1, 9_000));
            mSite.run(400);
            String executor = field(firstLineOf(linesWith(job), "start"), "executor");
            mSite.silenceExecutor(executor, 3_000);
            mSite.cancel(job);
            mSite.run(2_500);
            List<String> lines = linesWith(job);
            assertThat(field(firstLineOf(lines, "ended"), "state")).isEqualTo("CANCELLED");
            assertThat(field(firstLineOf(lines, "stop"), "reason")).isEqualTo("JOB_ENDED");
            assertThat(firstLineOf(lines, "run-ended")).isEmpty();
            assertThat(firstLineOf(linesWith(executor), "executor-silent"))
                    .contains("lease_left_ms=");
        }
    }
}
