package org.hibiscususher.core.scheduler.estimate;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunTimeRecordSystemTest {
    private static final long NOW_MS = 10_000;

    /** Its declared estimate is 1 ms. */
    private static final JobRow JOB = SchedulerWorlds.runningJob("a", 2, NOW_MS);

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

    private static SchedulerTick tick(SchedulerWorld world, long nowMs) {
        return new SchedulerTick(world, nowMs, nowMs, List.of(), () -> 1);
    }

    /** Adds a sample on each of sixteen executors. */
    private void learn(long durationMs, long nowMs) {
        for (int i = 0; i < 16; i++) {
            RunTimes.add(
                    tick(mWorld, nowMs),
                    RunTimeKey.of(JOB, 0),
                    new RunTimeSample("x" + i, durationMs, 1));
        }
    }

    /** Returns whether a tick queues the record, and takes it as written. */
    private boolean writesAt(long nowMs) {
        RunTimeRecordSystem.run(tick(mWorld, nowMs));
        return mWorld.pendingRecords().remove(RecordName.RUN_TIMES).isPresent();
    }

    @Nested
    class Write {
        @Test
        void followsAChangeOfPredictionOnly() {
            assertThat(writesAt(NOW_MS)).isFalse();
            learn(1_000, NOW_MS);
            assertThat(writesAt(NOW_MS)).isTrue();
            learn(1_100, NOW_MS);
            assertThat(writesAt(NOW_MS + 60_000)).isFalse();
        }

        /** Each write is priced. */
        @Test
        void isAtMostOnceInFiveSeconds() {
            learn(1_000, NOW_MS);
            assertThat(writesAt(NOW_MS)).isTrue();
            learn(9_000, NOW_MS);
            learn(9_000, NOW_MS);
            assertThat(writesAt(NOW_MS + 4_999)).isFalse();
            assertThat(writesAt(NOW_MS + 5_000)).isTrue();
        }

        /** Each step of a slow drift is below a fifth; the store would never learn of it. */
        @Test
        void followsASlowDrift() {
            learn(1_000, NOW_MS);
            assertThat(writesAt(NOW_MS)).isTrue();
            for (long durationMs = 1_010; durationMs < 1_400; durationMs += 10) {
                learn(durationMs, NOW_MS);
            }
            assertThat(writesAt(NOW_MS + 5_000)).isTrue();
        }
    }

    @Nested
    class NextOwner {
        @Test
        void expectsTheSame() {
            learn(1_000, NOW_MS);
            RunTimeRecordSystem.run(tick(mWorld, NOW_MS));
            StoredRecord record = mWorld.pendingRecords().find(RecordName.RUN_TIMES).orElseThrow();
            SchedulerWorld next = SchedulerWorlds.ofOwner(NOW_MS);
            RunTimes.restore(tick(next, NOW_MS), (StoredRecord.RunTimes) record);
            assertThat(RunTimes.expect(next, JOB, 0).medianMs()).isEqualTo(1_000);
            assertThat(RunTimes.expect(next, JOB, 0)).isEqualTo(RunTimes.expect(mWorld, JOB, 0));
        }
    }
}
