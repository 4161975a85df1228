package org.hibiscususher.core.scheduler.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StartKey;
import org.hibiscususher.core.scheduler.world.UncertainStartRow;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Executor x0 did not answer an order to start a task, and may restart and carry it out. */
class UncertainStartsTest {
    private static final long NOW_MS = 10_000;
    private static final TaskKey TASK = new StepKey("j", 0, 0).task(0);

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

    @BeforeEach
    void setUp() {
        StartKey key = new StartKey(TASK, 1);
        mWorld.uncertainStarts().put(key, new UncertainStartRow(key, "x0", NOW_MS, false, 0));
        mWorld.executorSessions().put("x0", ExecutorSessionRow.initial("x0", NOW_MS));
    }

    @Nested
    class WhileTheExecutorAnswers {
        @Test
        void keepTheTaskThere() {
            assertThat(UncertainStarts.mayStartOn(mWorld, TASK, "x0")).isTrue();
            assertThat(UncertainStarts.mayStartOn(mWorld, TASK, "x1")).isFalse();
        }

        @Test
        void leaveOtherTasksAlone() {
            TaskKey other = new StepKey("j", 0, 0).task(1);
            assertThat(UncertainStarts.mayStartOn(mWorld, other, "x1")).isTrue();
        }
    }

    @Nested
    class Otherwise {
        @Test
        void leaveTheTaskOfASilentExecutorAlone() {
            mWorld.executorSessions().update("x0", s -> s.withHeartbeatFailed(NOW_MS));
            assertThat(UncertainStarts.mayStartOn(mWorld, TASK, "x1")).isTrue();
        }

        @Test
        void leaveTheTaskOfARemovedExecutorAlone() {
            mWorld.executorSessions().remove("x0");
            assertThat(UncertainStarts.mayStartOn(mWorld, TASK, "x1")).isTrue();
        }
    }
}
