package org.hibiscususher.core.scheduler.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A job that was cancelled longer ago than finished jobs are kept. */
class JobSystemTest {
    private static final long START_MS = 10_000;
    private static final long AFTER_RETENTION_MS = START_MS + 200_000;
    private static final String JOB = "j";
    private static final RecordName PROGRESS = RecordName.of(RecordKind.PROGRESS, JOB);

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(START_MS);

    @BeforeEach
    void setUp() {
        mWorld.jobs().put(JOB, SchedulerWorlds.runningJob(JOB, 1, START_MS));
        JobLifecycle.finish(tickAt(START_MS), JOB, JobState.CANCELLED, "test");
    }

    private SchedulerTick tickAt(long nowMs) {
        return new SchedulerTick(mWorld, nowMs, nowMs, List.of(), () -> 1);
    }

    @Nested
    class Removal {
        /** Guards against a final state that is forgotten before any commit has stored it. */
        @Test
        void waitsUntilTheFinalStateIsStored() {
            JobSystem.run(tickAt(AFTER_RETENTION_MS));
            assertThat(mWorld.jobs().contains(JOB)).isTrue();
        }

        @Test
        void asksForTheRemovalOfTheStoredRecords() {
            mWorld.jobs().update(JOB, j -> j.withStoredVersion(j.version(), j.state(), START_MS));
            mWorld.revisions().put(PROGRESS, 7L);
            JobSystem.run(tickAt(AFTER_RETENTION_MS));
            assertThat(mWorld.pendingRemovals().contains(PROGRESS)).isTrue();
        }
    }
}
