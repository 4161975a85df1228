package org.hibiscususher.standin.maintenance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.hibiscususher.core.message.WaveCommand;
import org.hibiscususher.core.message.WaveState;
import org.hibiscususher.standin.store.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests host moves and maintenance waves in virtual time, with requests arriving throughout.
 *
 * <p>Every test also asserts that no guarantee checked by {@link MaintenanceSite} was broken.
 */
class MaintenanceTest {
    private static final int HOSTS_PER_POOL = 6;
    private static final long WAVE_LIMIT_MS = 180_000;

    private final MaintenanceSite mSite = new MaintenanceSite(11, 3);

    @BeforeEach
    void createPools() {
        mSite.createPools(HOSTS_PER_POOL);
        mSite.run(4_000);
    }

    @AfterEach
    void assertGuaranteesHeld() {
        assertThat(mSite.violations()).isEmpty();
        assertThat(mSite.answeredCount()).isPositive();
    }

    @Nested
    class Moves {
        @Test
        void changeThePoolWithoutInterruptingRequests() {
            mSite.apply(
                    """
                    note: move
                    author: anna
                    changed:
                      hosts:
                    %s
                    """
                            .formatted(MaintenanceSite.hostLine("a1", 1, "b")));
            mSite.run(3_000);
            assertThat(mSite.poolOf("a1")).isEqualTo("b");
            assertThat(mSite.interruptedRequests()).isEmpty();
            long mostRunning = mSite.site().target("a1").maxConcurrentRequests();
            assertThat(mostRunning).isPositive();
        }

        @Test
        void ofAlmostAllHostsStayWithinTheBudget() {
            StringBuilder hosts = new StringBuilder();
            IntStream.rangeClosed(1, HOSTS_PER_POOL - 1)
                    .forEach(i -> hosts.append(MaintenanceSite.hostLine("a" + i, i, "b")));
            mSite.apply("note: move\nauthor: anna\nchanged:\n  hosts:\n" + hosts);
            mSite.run(10_000);
            assertThat(mSite.poolOf("a5")).isEqualTo("b");
            assertThat(mSite.interruptedRequests()).isEmpty();
        }

        @Test
        void ofWithdrawnHostsDrainBeforeRemoval() {
            mSite.apply("note: gone\nauthor: anna\nwithdrawn:\n  hosts: [a1]\n");
            mSite.run(3_000);
            assertThat(mSite.poolOf("a1")).isEmpty();
            assertThat(mSite.site().entries().get("e2").world().hosts().contains("a1")).isFalse();
            assertThat(mSite.interruptedRequests()).isEmpty();
        }
    }

    @Nested
    class Waves {
        @Test
        void rebootEveryHostOnce() {
            mSite.startWave();
            mSite.runWave(WAVE_LIMIT_MS);
            assertEveryHostRebootedOnce();
            assertThat(mSite.interruptedRequests()).isEmpty();
        }

        @Test
        void resumeAfterStoreOutage() {
            mSite.startWave();
            mSite.run(1_000);
            mSite.site().store().setFault(StoreFault.DOWN);
            mSite.run(20_000);
            mSite.site().store().setFault(StoreFault.NONE);
            mSite.runWave(WAVE_LIMIT_MS);
            assertEveryHostRebootedOnce();
        }

        @Test
        void completeAlthoughEntriesAreKilledAndRestarted() {
            mSite.startWave();
            for (String entry : List.of("e1", "e2", "e3")) {
                mSite.run(7_000);
                mSite.site().kill(entry);
                mSite.run(4_000);
                mSite.site().start(entry, "z1");
                mSite.run(8_000);
            }
            mSite.runWave(WAVE_LIMIT_MS);
            assertEveryHostRebootedOnce();
        }

        @Test
        void completeAlthoughEntriesArePaused() {
            mSite.startWave();
            for (String entry : List.of("e1", "e2", "e3")) {
                mSite.run(5_000);
                mSite.site().pause(entry);
                mSite.run(6_000);
                mSite.site().resume(entry);
                mSite.run(3_000);
            }
            mSite.runWave(WAVE_LIMIT_MS);
            assertEveryHostRebootedOnce();
        }

        @Test
        void rebootOnceAlthoughResponsesAreLost() {
            mSite.site().platform().setDropsRebootResponses(true);
            mSite.startWave();
            mSite.run(12_000);
            mSite.site().store().setFault(StoreFault.LOSES_ANSWERS);
            mSite.run(8_000);
            mSite.site().store().setFault(StoreFault.NONE);
            mSite.site().platform().setDropsRebootResponses(false);
            mSite.runWave(WAVE_LIMIT_MS);
            assertEveryHostRebootedOnce();
        }

        @Test
        void countLostHostsAgainstTheBudget() {
            mSite.site().platform().failHost("a1");
            mSite.run(5_000);
            mSite.startWave();
            mSite.run(30_000);
            mSite.site().platform().restoreHost("a1");
            mSite.runWave(WAVE_LIMIT_MS);
            assertEveryHostRebootedOnce();
        }

        @Test
        void pauseWhenHostsFailToReboot() {
            for (int i = 1; i <= HOSTS_PER_POOL; i++) {
                mSite.site().platform().setFailsNextReboot("a" + i);
                mSite.site().platform().setFailsNextReboot("b" + i);
            }
            mSite.startWave();
            mSite.run(140_000);
            assertThat(mSite.wave().orElseThrow().state()).isEqualTo(WaveState.PAUSED);
            assertThat(mSite.wave().orElseThrow().detail()).contains("hosts failed");
            assertThat(mSite.site().platform().rebootCounts().size()).isLessThan(HOSTS_PER_POOL);
        }

        @Test
        void rebootNoFurtherHostWhilePaused() {
            mSite.startWave();
            long callId = mSite.site().sendWaveCommand("e2", WaveCommand.PAUSE, List.of());
            mSite.run(15_000);
            assertThat(mSite.site().waveReplies().get(callId).report().ok()).isTrue();
            int rebootsBefore = mSite.site().platform().rebootCounts().size();
            mSite.run(15_000);
            assertThat(mSite.site().platform().rebootCounts().size()).isEqualTo(rebootsBefore);
        }

        private void assertEveryHostRebootedOnce() {
            assertThat(mSite.wave().orElseThrow().state()).isEqualTo(WaveState.DONE);
            assertThat(mSite.site().platform().rebootCounts()).hasSize(2 * HOSTS_PER_POOL);
            assertThat(mSite.site().platform().rebootCounts().values()).containsOnly(1);
        }
    }
}
