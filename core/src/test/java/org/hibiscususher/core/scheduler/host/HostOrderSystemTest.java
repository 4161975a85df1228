package org.hibiscususher.core.scheduler.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.HostOrderResult;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HostOrderCompleted;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.MaintainHost;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.message.WaveOrder;
import org.hibiscususher.core.scheduler.world.HostListRow;
import org.hibiscususher.core.scheduler.world.HostOperationRow;
import org.hibiscususher.core.scheduler.world.HostOperationStep;
import org.hibiscususher.core.scheduler.world.HostOrderRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.WaveRow;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** An owner that has just taken over, and a wave of hosts without executors. */
class HostOrderSystemTest {
    private static final long NOW_MS = 10_000;
    private static final long WAVE = 1;

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);
    private long mCalls;

    @BeforeEach
    void takeOver() {
        mWorld.hostList().set(new HostListRow(0, NOW_MS, NOW_MS));
        host("h1", HostState.UP);
        host("h2", HostState.UP);
    }

    private void host(String id, HostState state) {
        mWorld.hosts().put(id, new HostReport(id, "p", state, "z", List.of(), Resources.NONE, ""));
    }

    private void wave(int cap) {
        WaveOrder order = new WaveOrder(WAVE, List.of("h1", "h2"), 60_000, cap);
        mWorld.waves().put(WAVE, new WaveRow(order, NOW_MS, Set.of(), false, true));
    }

    private List<String> ordered(long nowMs) {
        SchedulerTick tick = new SchedulerTick(mWorld, nowMs, nowMs, List.of(), () -> ++mCalls);
        WaveSystem.run(tick);
        HostOrderSystem.run(tick);
        List<String> hosts = new ArrayList<>();
        for (SchedulerOutput output : tick.outputs()) {
            if (output instanceof MaintainHost maintain) {
                hosts.add(maintain.host());
            }
        }
        return hosts;
    }

    /** Applies that the store holds what waits to be written. */
    private void store() {
        mWorld.pendingRecords().remove(RecordName.HOST_ORDERS);
        for (HostOrderRow row : mWorld.hostOrders().rows()) {
            mWorld.hostOrders().put(row.host(), row.asRecorded());
        }
    }

    private void rest(String host) {
        long untilMs = NOW_MS + SchedulerTiming.DEFAULT.hostOrderGapMs();
        mWorld.hostOrders().put(host, new HostOrderRow(host, true, untilMs, NOW_MS));
    }

    @Nested
    class Orders {
        @Test
        void waitUntilTheStoreNamesTheHost() {
            wave(2);
            assertThat(ordered(NOW_MS)).isEmpty();
            assertThat(ordered(NOW_MS + 20)).isEmpty();
            assertThat(mWorld.pendingRecords().find(RecordName.HOST_ORDERS))
                    .contains(new StoredRecord.HostOrders(List.of("h1", "h2")));
            store();
            assertThat(ordered(NOW_MS + 40)).containsExactly("h1", "h2");
        }

        @Test
        void restForHostsThatTheEarlierOwnerMayHaveOrdered() {
            rest("h1");
            wave(2);
            ordered(NOW_MS);
            store();
            assertThat(ordered(NOW_MS + 20)).containsExactly("h2");
            long gapMs = SchedulerTiming.DEFAULT.hostOrderGapMs();
            assertThat(ordered(NOW_MS + gapMs)).containsExactly("h1");
        }
    }

    @Nested
    class Moves {
        /** The load of an incident in which a leaving host was ordered away 20 times a second. */
        @Test
        void restForAHostThatWasBusy() {
            HostOperationRow move =
                    new HostOperationRow(
                            "h1", 0, "other", HostOperationStep.ORDERED, 99, 0, NOW_MS, "", false);
            mWorld.hostOperations().put("h1", move);
            mWorld.hostOrders().put("h1", new HostOrderRow("h1", true, 0, NOW_MS));
            SchedulerInput busy = new HostOrderCompleted(99, "h1", HostOrderResult.BUSY);
            SchedulerTick tick =
                    new SchedulerTick(mWorld, NOW_MS, NOW_MS, List.of(busy), () -> ++mCalls);
            WaveSystem.run(tick);
            assertThat(mWorld.hostOperations().size()).isZero();
            assertThat(HostOrderSystem.isDeferred(tick, "h1")).isTrue();
        }
    }

    @Nested
    class Cap {
        @Test
        void countsHostsThatTheEarlierOwnerMayHaveOrdered() {
            rest("h1");
            wave(1);
            ordered(NOW_MS);
            store();
            assertThat(ordered(NOW_MS + 20)).isEmpty();
        }

        @Test
        void countsHostsThatTheEarlierOwnerHasSentAway() {
            host("h1", HostState.MAINTENANCE);
            wave(1);
            ordered(NOW_MS);
            store();
            assertThat(ordered(NOW_MS + 20)).isEmpty();
        }
    }

    @Nested
    class UnansweredOrders {
        private void answer(long nowMs, HostOrderResult result) {
            long call =
                    mWorld.hostOperations().find("h1").map(HostOperationRow::callId).orElseThrow();
            SchedulerInput input = new HostOrderCompleted(call, "h1", result);
            WaveSystem.run(new SchedulerTick(mWorld, nowMs, nowMs, List.of(input), () -> ++mCalls));
        }

        @Test
        void countAgainstTheCapUntilTheHostIsBack() {
            wave(1);
            ordered(NOW_MS);
            store();
            assertThat(ordered(NOW_MS + 20)).containsExactly("h1");
            answer(NOW_MS + 40, HostOrderResult.NO_ANSWER);
            assertThat(ordered(NOW_MS + 60)).isEmpty();
            assertThat(ordered(NOW_MS + 400)).containsExactly("h1");
            answer(NOW_MS + 420, HostOrderResult.BUSY);
            assertThat(ordered(NOW_MS + 440)).isEmpty();
            assertThat(ordered(NOW_MS + 800)).containsExactly("h1");
        }
    }

    @Nested
    class Names {
        @Test
        void goOnceNoOrderWasGivenForLong() {
            HostOrderSystem.recordUse(
                    new SchedulerTick(mWorld, NOW_MS, NOW_MS, List.of(), () -> 1), "h1");
            ordered(NOW_MS);
            store();
            ordered(NOW_MS + 60_000);
            assertThat(mWorld.hostOrders().size()).isZero();
            assertThat(mWorld.pendingRecords().find(RecordName.HOST_ORDERS))
                    .contains(new StoredRecord.HostOrders(List.of()));
        }
    }
}
