package org.hibiscususher.core.scheduler.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ZoneEvacuationRequested;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ZoneEvacuationWithdrawn;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StopRun;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Three executors: in the zone, in another one, and in the zone by the list of hosts alone. */
class ZoneEvacuationSystemTest {
    private static final long NOW_MS = 10_000;
    private static final Resources CAPACITY = Resources.of(8_000, 1_000, 2);
    private static final StepKey STEP = new StepKey("0000000000000001", 0, 0);
    private static final SchedulerInput REQUEST = new ZoneEvacuationRequested("z");
    private static final SchedulerInput WITHDRAWAL = new ZoneEvacuationWithdrawn("z");

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

    @BeforeEach
    void setUp() {
        addExecutor("in", "z", "h1");
        addExecutor("out", "y", "h2");
        addExecutor("silent", "", "h3");
        HostReport host =
                new HostReport("h3", "p", HostState.UP, "z", List.of(), CAPACITY, "silent");
        mWorld.hosts().put("h3", host);
    }

    private void addExecutor(String id, String zone, String host) {
        ExecutorReport report =
                new ExecutorReport(
                        id, "p", id + ":1", zone, host, List.of(), CAPACITY, false, 0, 0);
        mWorld.executors().put(id, new ExecutorRow(report, 1, 0, false, true, false, 0));
    }

    private void addRun(int index, String executor, RunStage stage, long sentMs) {
        mWorld.runs()
                .put(
                        STEP.task(index),
                        new RunRow(
                                STEP.task(index),
                                1,
                                executor,
                                "team",
                                Resources.NONE,
                                Resources.of(1_500, 100, 0),
                                stage,
                                StopReason.NONE,
                                7,
                                sentMs,
                                0,
                                "",
                                0,
                                -1,
                                100,
                                0));
    }

    private SchedulerTick tick(long nowMs, SchedulerInput... inputs) {
        SchedulerTick tick = new SchedulerTick(mWorld, nowMs, nowMs, List.of(inputs), () -> 9);
        ZoneEvacuationSystem.run(tick);
        return tick;
    }

    private boolean isEvacuated(String executor) {
        return ZoneEvacuations.isEvacuated(mWorld, mWorld.executors().find(executor).orElseThrow());
    }

    private static long logLines(SchedulerTick tick, String event) {
        return tick.outputs().stream()
                .filter(SchedulerOutput.Log.class::isInstance)
                .filter(o -> ((SchedulerOutput.Log) o).event().equals(event))
                .count();
    }

    @Nested
    class Request {
        @Test
        void coversTheExecutorsOfTheZoneOnly() {
            assertThat(isEvacuated("in")).isFalse();
            tick(NOW_MS, REQUEST);
            assertThat(isEvacuated("in")).isTrue();
            assertThat(isEvacuated("silent")).isTrue();
            assertThat(isEvacuated("out")).isFalse();
            assertThat(ZoneEvacuations.hasNoUsableExecutor(mWorld, "p")).isFalse();
        }

        /** Guards against a start before the first listing of hosts tells the zone. */
        @Test
        void coversExecutorsWhoseZoneIsNotKnown() {
            addExecutor("unknown", "", "no-host");
            assertThat(isEvacuated("unknown")).isFalse();
            tick(NOW_MS, REQUEST);
            assertThat(isEvacuated("unknown")).isTrue();
        }

        /** Each writing of the key is reported, and a new listing reports all of them. */
        @Test
        void isLoggedOnce() {
            assertThat(logLines(tick(NOW_MS, REQUEST, REQUEST), "zone-evacuated")).isEqualTo(1);
            assertThat(tick(NOW_MS + 20, REQUEST).outputs()).isEmpty();
        }

        /** The next owner may have read the key long before it takes over. */
        @Test
        void isKeptAcrossTerms() {
            tick(NOW_MS, REQUEST);
            mWorld.clearOwnerTables();
            addExecutor("in", "z", "h1");
            assertThat(isEvacuated("in")).isTrue();
        }

        @Test
        void stopsUnansweredStartsInTheZoneOnly() {
            addRun(0, "in", RunStage.SENT, NOW_MS - 10);
            addRun(1, "in", RunStage.RUNNING, NOW_MS - 500);
            addRun(2, "out", RunStage.SENT, NOW_MS - 10);
            SchedulerTick tick = tick(NOW_MS, REQUEST);
            assertThat(tick.outputs().stream().filter(StopRun.class::isInstance))
                    .containsExactly(new StopRun(9, "in", "in:1", 50, STEP.task(0), 1));
            // The answer to the order to start must still find its run.
            assertThat(mWorld.runs().find(STEP.task(0)).orElseThrow().callId()).isEqualTo(7);
        }
    }

    @Nested
    class Withdrawal {
        private Resources startable(String executor, long nowMs) {
            SchedulerTick tick = new SchedulerTick(mWorld, nowMs, nowMs, List.of(), () -> 9);
            ExecutorRow row = mWorld.executors().find(executor).orElseThrow();
            return ZoneEvacuations.startableCapacity(tick, row, CAPACITY);
        }

        @Test
        void ofAZoneThatIsNotEvacuatedHasNoEffect() {
            assertThat(tick(NOW_MS, WITHDRAWAL).outputs()).isEmpty();
            assertThat(mWorld.zoneEvacuations().size()).isZero();
        }

        @Test
        void opensAQuarterInEachInterval() {
            tick(NOW_MS, REQUEST);
            assertThat(startable("in", NOW_MS).cpuMillis()).isZero();
            tick(NOW_MS + 100, WITHDRAWAL);
            assertThat(isEvacuated("in")).isFalse();
            assertThat(startable("in", NOW_MS + 100)).isEqualTo(Resources.of(2_000, 250, 1));
            addRun(0, "in", RunStage.RUNNING, NOW_MS + 120);
            assertThat(startable("in", NOW_MS + 369).cpuMillis()).isEqualTo(500);
            assertThat(startable("in", NOW_MS + 370).cpuMillis()).isEqualTo(2_000);
            assertThat(startable("out", NOW_MS + 120)).isEqualTo(CAPACITY);
        }

        @Test
        void leavesNoTraceAfterTheRestore() {
            tick(NOW_MS, REQUEST, WITHDRAWAL);
            tick(NOW_MS + 999);
            assertThat(mWorld.zoneEvacuations().size()).isEqualTo(1);
            tick(NOW_MS + 1_000);
            assertThat(mWorld.zoneEvacuations().size()).isZero();
        }

        @Test
        void isRevokedByANewRequest() {
            tick(NOW_MS, REQUEST, WITHDRAWAL, REQUEST);
            tick(NOW_MS + 2_000);
            assertThat(isEvacuated("in")).isTrue();
        }
    }
}
