package org.hibiscususher.core.scheduler.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.job.Resources;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TeamSharesTest {
    private static JobTeam team(String name, long weight) {
        return new JobTeam(name, weight, Resources.NONE, Set.of());
    }

    @Nested
    class OverShare {
        private final List<JobTeam> mTeams = List.of(team("a", 1), team("b", 1), team("c", 6));

        @Test
        void isATeamThatUsesFarMoreThanItsPart() {
            TeamShares shares = TeamShares.of(Map.of("a", 90L, "b", 10L, "c", 100L), mTeams);
            assertThat(shares.isOverShare("a")).isTrue();
            assertThat(shares.isOverShare("b")).isFalse();
        }

        @Test
        void isNotATeamWithTheWeightForIt() {
            TeamShares shares = TeamShares.of(Map.of("a", 10L, "b", 10L, "c", 90L), mTeams);
            assertThat(shares.isOverShare("c")).isFalse();
        }

        @Test
        void isNotATeamThatIsAlone() {
            TeamShares shares = TeamShares.of(Map.of("a", 1_000L), mTeams);
            assertThat(shares.isOverShare("a")).isFalse();
        }
    }

    /** One team of five submits ten times its usual, which is more than the pool can run. */
    @Nested
    class Flood {
        private static final int TEAMS = 5;
        private static final int SLOTS = 20;
        private static final int STEP_MS = 10;
        private static final int JOB_MS = 400;
        private static final int END_MS = 10_000;

        private final List<JobTeam> mTeams = new ArrayList<>();

        Flood() {
            for (int i = 0; i < TEAMS; i++) {
                mTeams.add(team("t" + i, 1));
            }
        }

        private record Job(String team, long arrivedMs, long endMs) {}

        /**
         * Returns for 95 of 100 jobs of the other teams the time from their arrival to their end.
         *
         * @param flood jobs of the first team for each one of another team
         */
        private long turnaroundMs(int flood, boolean byShare) {
            List<Job> waiting = new ArrayList<>();
            List<Job> running = new ArrayList<>();
            List<Long> times = new ArrayList<>();
            for (long nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
                arrive(waiting, nowMs, flood);
                for (Job job : List.copyOf(running)) {
                    if (job.endMs() <= nowMs) {
                        running.remove(job);
                        if (!job.team().equals("t0")) {
                            times.add(nowMs - job.arrivedMs());
                        }
                    }
                }
                while (running.size() < SLOTS && !waiting.isEmpty()) {
                    Job next = next(waiting, running, byShare);
                    waiting.remove(next);
                    running.add(new Job(next.team(), next.arrivedMs(), nowMs + JOB_MS));
                }
            }
            Collections.sort(times);
            return times.get(times.size() * 95 / 100);
        }

        private void arrive(List<Job> waiting, long nowMs, int flood) {
            if (nowMs % 160 != 0) {
                return;
            }
            for (int i = 0; i < TEAMS; i++) {
                int jobs = i == 0 ? flood : 1;
                for (int j = 0; j < jobs; j++) {
                    waiting.add(new Job("t" + i, nowMs, 0));
                }
            }
        }

        private Job next(List<Job> waiting, List<Job> running, boolean byShare) {
            Map<String, Long> used = new HashMap<>();
            waiting.forEach(job -> used.putIfAbsent(job.team(), 0L));
            running.forEach(job -> used.merge(job.team(), 1L, Long::sum));
            TeamShares shares = TeamShares.of(used, mTeams);
            return Collections.min(
                    waiting,
                    (a, b) -> priority(a, shares, byShare).compareTo(priority(b, shares, byShare)));
        }

        private static StartPriority priority(Job job, TeamShares shares, boolean byShare) {
            boolean overShare = byShare && shares.isOverShare(job.team());
            return new StartPriority(false, 0, true, overShare, 1, job.arrivedMs());
        }

        /** A job of another team waits for one run to end at most, since none is stopped. */
        @Test
        void delaysTheOtherTeamsByNoMoreThanOneRun() {
            long usualMs = turnaroundMs(1, true);
            assertThat(turnaroundMs(10, true)).isLessThanOrEqualTo(usualMs + JOB_MS);
            assertThat(turnaroundMs(10, false)).isGreaterThan(usualMs + 2 * JOB_MS);
        }
    }
}
