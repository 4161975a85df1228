package org.hibiscususher.core.scheduler.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.HostOrderResult;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HostOrderCompleted;
import org.hibiscususher.core.scheduler.message.WaveOrder;
import org.hibiscususher.core.scheduler.world.HostListRow;
import org.hibiscususher.core.scheduler.world.HostOperationRow;
import org.hibiscususher.core.scheduler.world.HostOrderRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.WaveRow;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A wave of one host with an idle executor. */
class WaveSystemTest {
    private static final long NOW_MS = 10_000;
    private static final long WAVE = 1;

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);
    private long mCalls;

    @BeforeEach
    void start() {
        list(NOW_MS, HostState.UP, "x");
        executor(NOW_MS - 100);
        mWorld.hostOrders().put("h", new HostOrderRow("h", true, 0, NOW_MS));
        WaveOrder order = new WaveOrder(WAVE, List.of("h"), 60_000, 1);
        mWorld.waves().put(WAVE, new WaveRow(order, NOW_MS, Set.of(), false, true));
    }

    private void list(long nowMs, HostState state, String executor) {
        mWorld.hostList().set(new HostListRow(0, nowMs - 10, nowMs));
        mWorld.hosts()
                .put(
                        "h",
                        new HostReport("h", "p", state, "z", List.of(), Resources.NONE, executor));
    }

    private void executor(long answeredMs) {
        SchedulerWorlds.addExecutor(mWorld, "x", "p", Resources.NONE, answeredMs);
    }

    private void tick(long nowMs, SchedulerInput... inputs) {
        WaveSystem.run(new SchedulerTick(mWorld, nowMs, nowMs, List.of(inputs), () -> ++mCalls));
    }

    private void orderIsAnswered(HostOrderResult result) {
        tick(NOW_MS);
        tick(NOW_MS + 10);
        long call = mWorld.hostOperations().find("h").map(HostOperationRow::callId).orElseThrow();
        tick(NOW_MS + 20, new HostOrderCompleted(call, "h", result));
    }

    private boolean isDone() {
        return mWorld.waves().find(WAVE).filter(WaveRow::done).isPresent();
    }

    @Nested
    class Ends {
        @Test
        void onceTheHostIsBackWithAnotherExecutor() {
            orderIsAnswered(HostOrderResult.DONE);
            list(NOW_MS + 1_000, HostState.MAINTENANCE, "");
            tick(NOW_MS + 1_000);
            assertThat(isDone()).isFalse();
            list(NOW_MS + 3_000, HostState.UP, "y");
            tick(NOW_MS + 3_000);
            tick(NOW_MS + 3_010);
            assertThat(isDone()).isTrue();
        }

        /** The order of an earlier owner was carried out, but the store did not learn of it. */
        @Test
        void onceTheExecutorOfAHostThatWasMaintainedBeforeAnswers() {
            orderIsAnswered(HostOrderResult.DONE);
            list(NOW_MS + 1_000, HostState.UP, "x");
            tick(NOW_MS + 1_000);
            assertThat(isDone()).isFalse();
            executor(NOW_MS + 1_500);
            list(NOW_MS + 1_600, HostState.UP, "x");
            tick(NOW_MS + 1_600);
            tick(NOW_MS + 1_610);
            assertThat(isDone()).isTrue();
        }
    }
}
