package org.hibiscususher.core.scheduler.world;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.placement.StartPriority;
import org.hibiscususher.core.scheduler.placement.TeamShares;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PoolBacklogRowTest {
    private static QueuedWork queued(Random random) {
        StartPriority priority =
                new StartPriority(
                        false,
                        random.nextInt(2),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextInt(20),
                        random.nextInt(20));
        return new QueuedWork(priority, 1 + random.nextInt(1_000));
    }

    private static long sumAhead(List<QueuedWork> queued, StartPriority priority) {
        return queued.stream()
                .filter(q -> q.priority().compareTo(priority) <= 0)
                .mapToLong(QueuedWork::coreMicros)
                .sum();
    }

    private static PoolBacklogRow backlog(List<QueuedWork> queued) {
        TeamShares shares = TeamShares.of(SchedulerWorlds.ofOwner(0), "p");
        return PoolBacklogRow.of("p", 0, 1, shares, queued);
    }

    /** Guards against a rejection for work that would start after the rejected job. */
    @Nested
    class WorkAhead {
        private final Random mRandom = new Random(5);

        @Test
        void isTheSumOfAllThatStartsBefore() {
            for (int n = 0; n < 60; n++) {
                List<QueuedWork> queued = new ArrayList<>();
                for (int i = 0; i < n; i++) {
                    queued.add(queued(mRandom));
                }
                StartPriority priority = queued(mRandom).priority();
                assertThat(backlog(queued).coreMicrosAhead(priority))
                        .isEqualTo(sumAhead(queued, priority));
            }
        }

        @Test
        void countsWhatIsAddedLater() {
            List<QueuedWork> queued = new ArrayList<>();
            PoolBacklogRow backlog = backlog(queued);
            for (int i = 0; i < 60; i++) {
                QueuedWork added = queued(mRandom);
                queued.add(added);
                backlog = backlog.with(added);
                StartPriority priority = queued(mRandom).priority();
                assertThat(backlog.coreMicrosAhead(priority)).isEqualTo(sumAhead(queued, priority));
            }
        }
    }
}
