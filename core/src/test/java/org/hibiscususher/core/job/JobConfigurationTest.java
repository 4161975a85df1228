package org.hibiscususher.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JobConfigurationTest {
    private static final JobConfiguration PLAN =
            new JobConfiguration(
                    3,
                    List.of(queue("short", "/a/"), queue("long", "/a/b/")),
                    List.of(new JobPool("pool", true, false)),
                    List.of(new JobTeam("team", 1, Resources.NONE, Set.of("k1", "k2"))));

    private static JobQueue queue(String name, String prefix) {
        return new JobQueue("h", prefix, false, new JobPolicy(name, "pool", 0, 2, 1.5, 600, false));
    }

    @Nested
    class Route {
        @Test
        void takesTheLongestPrefix() {
            assertThat(PLAN.route("h", "/a/b/0123").map(JobQueue::name)).contains("long");
            assertThat(PLAN.route("h", "/a/0123").map(JobQueue::name)).contains("short");
        }

        @Test
        void findsNothingOnAnotherHost() {
            assertThat(PLAN.route("other", "/a/0123")).isEmpty();
        }
    }

    @Nested
    class Keys {
        @Test
        void nameTheirTeam() {
            assertThat(PLAN.teamByApiKey("k2").map(JobTeam::name)).contains("team");
            assertThat(PLAN.teamByApiKey("unknown")).isEmpty();
        }

        @Test
        void doNotShowInTheText() {
            assertThat(PLAN.teams().toString()).doesNotContain("k1");
        }
    }

    @Nested
    class Objective {
        @Test
        void isTheExtendedChainAndTheSlack() {
            assertThat(PLAN.queues().get(0).policy().objectiveFor(1_000)).isEqualTo(2_100);
        }
    }
}
