package org.hibiscususher.core.scheduler.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StartPriorityTest {
    private static final int SLOTS = 20;

    private static StartPriority order(boolean hopeful, long work, long arrivedMs) {
        return new StartPriority(false, 0, hopeful, work, arrivedMs);
    }

    @Nested
    class Comparison {
        @Test
        void putsLastingAndUrgentWorkFirst() {
            StartPriority lasting = new StartPriority(true, 0, true, 0, 9);
            StartPriority urgent = new StartPriority(false, 0, false, 9, 9);
            StartPriority other = new StartPriority(false, 1, true, 1, 1);
            assertThat(lasting).isLessThan(urgent);
            assertThat(urgent).isLessThan(other);
        }

        @Test
        void putsTheLeastWorkFirstAmongHopefulJobs() {
            assertThat(order(true, 10, 5)).isLessThan(order(true, 20, 1));
        }

        @Test
        void putsTheOldestFirstAmongLateJobs() {
            assertThat(order(false, 20, 1)).isLessThan(order(false, 10, 5));
            assertThat(order(true, 100, 9)).isLessThan(order(false, 1, 1));
        }
    }

    /** A queue that asks for four times what its pool holds, for four and a half seconds. */
    @Nested
    class Surge {
        /** Returns how many jobs of a surge are done in time if they start in the given order. */
        private int inTime(List<long[]> jobs, boolean decided) {
            long nowMs = 0;
            int served = 0;
            List<long[]> waiting = new ArrayList<>();
            int next = 0;
            while (next < jobs.size() || !waiting.isEmpty()) {
                while (next < jobs.size() && jobs.get(next)[0] <= nowMs) {
                    waiting.add(jobs.get(next++));
                }
                if (waiting.isEmpty()) {
                    nowMs = jobs.get(next)[0];
                    continue;
                }
                long[] first = waiting.get(0);
                if (decided) {
                    long now = nowMs;
                    first =
                            Collections.min(
                                    waiting, (a, b) -> place(a, now).compareTo(place(b, now)));
                }
                waiting.remove(first);
                nowMs += first[1];
                served += nowMs <= first[0] + dueMs(first) ? 1 : 0;
            }
            return served;
        }

        private long dueMs(long[] job) {
            return job[1] * SLOTS * 16 / 10 / SLOTS + 600;
        }

        private StartPriority place(long[] job, long nowMs) {
            return order(nowMs + job[1] <= job[0] + dueMs(job), job[1], job[0]);
        }

        @Test
        void leavesMoreJobsInTimeThanFirstComeFirstServed() {
            Random random = new Random(7);
            List<long[]> jobs = new ArrayList<>();
            for (long atMs = 0; atMs < 4_500; atMs += 25) {
                jobs.add(new long[] {atMs, 20 + random.nextInt(160)});
            }
            assertThat(inTime(jobs, true)).isGreaterThan(2 * inTime(jobs, false));
        }
    }
}
