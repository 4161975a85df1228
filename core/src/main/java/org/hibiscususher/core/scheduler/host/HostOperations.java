package org.hibiscususher.core.scheduler.host;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.hibiscususher.core.scheduler.executor.RunLifecycle;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HostOrderCompleted;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.MaintainHost;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.MoveHost;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.HostOperationRow;
import org.hibiscususher.core.scheduler.world.HostOperationStep;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.WaveRow;

/** The steps by which a host is maintained or moved: emptied, ordered away, and back again. */
final class HostOperations {
    private static final long ORDER_TIMEOUT_MS = 3_000;
    private static final long RETRY_MS = 300;

    /** Time for which a host that could not be moved is left alone, in milliseconds. */
    private static final long MOVE_REST_MS = 2_000;

    private HostOperations() {}

    /** Begins with a host: its executor gets no new runs. */
    static void begin(SchedulerTick tick, HostReport host, long wave, String pool) {
        SchedulerWorld world = tick.world();
        world.executors().update(host.executor(), e -> e.withCordoned(true));
        HostOrderSystem.recordUse(tick, host.id());
        world.hostOperations()
                .put(
                        host.id(),
                        new HostOperationRow(
                                host.id(),
                                wave,
                                pool,
                                HostOperationStep.EMPTYING,
                                0,
                                0,
                                tick.nowMs(),
                                host.executor(),
                                false));
        tick.log("host-emptying", describe(host.id(), wave, pool) + " from=" + host.pool());
    }

    private static String describe(HostOperationRow row) {
        return describe(row.host(), row.wave(), row.destinationPool());
    }

    private static String describe(String host, long wave, String pool) {
        return "host=" + host + (pool.isEmpty() ? " wave=" + wave : " to=" + pool);
    }

    /** Takes in an answer to an order for a host. */
    static void handleOrderResult(SchedulerTick tick, HostOrderCompleted answer) {
        SchedulerWorld world = tick.world();
        HostOperationRow row = world.hostOperations().find(answer.host()).orElse(null);
        if (row == null
                || row.callId() != answer.callId()
                || row.step() != HostOperationStep.ORDERED) {
            return;
        }
        tick.log("host-order-answered", describe(row) + " result=" + answer.result());
        tick.count("host-order." + answer.result());
        switch (answer.result()) {
            case DONE -> {
                begun(tick, row);
                world.hostOperations()
                        .put(row.host(), row.withStep(HostOperationStep.AWAY, 0, tick.nowMs()));
                RunLifecycle.removeExecutor(tick, row.executor(), "host-ordered-away");
            }
            case NO_ANSWER -> unanswered(tick, row);
            case NOT_IN_WAVE, INVALID -> {
                begun(tick, row);
                abandon(tick, row);
            }
            default -> retry(tick, row);
        }
    }

    /** Notes that the maintenance of a host has begun, or that it never will. */
    private static void begun(SchedulerTick tick, HostOperationRow row) {
        SchedulerWorld world = tick.world();
        WaveRow wave = world.waves().find(row.wave()).orElse(null);
        if (wave == null) {
            return;
        }
        Set<String> begun = new HashSet<>(wave.startedHosts());
        begun.add(row.host());
        world.waves().put(row.wave(), wave.withStartedHosts(begun));
        StoredRecord record = new StoredRecord.Wave(row.wave(), new ArrayList<>(begun));
        world.pendingRecords().put(record.name(), record);
    }

    /** Leaves a host as it is. */
    static void abandon(SchedulerTick tick, HostOperationRow row) {
        tick.world().hostOperations().remove(row.host());
        tick.world().executors().update(row.executor(), e -> e.withCordoned(false));
    }

    private static void retry(SchedulerTick tick, HostOperationRow row) {
        HostOrderSystem.recordUse(tick, row.host());
        if (row.destinationPool().isEmpty()) {
            long atMs = tick.nowMs() + RETRY_MS;
            tick.world().hostOperations().put(row.host(), row.withRetryAt(atMs));
        } else {
            HostOrderSystem.deferOrders(tick, row.host(), MOVE_REST_MS);
            abandon(tick, row);
        }
    }

    /** Keeps the host out of service until the same order is answered. */
    private static void unanswered(SchedulerTick tick, HostOperationRow row) {
        HostOrderSystem.recordUse(tick, row.host());
        long atMs = tick.nowMs() + RETRY_MS;
        tick.world().hostOperations().put(row.host(), row.asUnanswered(atMs));
    }

    /** Does what is due with a host. */
    static void advance(SchedulerTick tick, HostOperationRow row) {
        switch (row.step()) {
            case EMPTYING, UNANSWERED -> empty(tick, row);
            case ORDERED -> {
                if (tick.nowMs() - row.stepSinceMs() > ORDER_TIMEOUT_MS) {
                    unanswered(tick, row);
                }
            }
            default -> back(tick, row);
        }
    }

    private static void empty(SchedulerTick tick, HostOperationRow row) {
        SchedulerWorld world = tick.world();
        boolean empty = Eviction.evict(tick, row.executor(), row.stepSinceMs());
        boolean due = tick.nowMs() >= row.retryAtMs();
        if (!empty || !due || !mayGo(tick, row) || !HostOrderSystem.mayOrder(tick, row.host())) {
            return;
        }
        HostOrderSystem.recordUse(tick, row.host());
        long callId = tick.nextCallId();
        long fence = world.term().get().fence();
        world.hostOperations()
                .put(row.host(), row.withStep(HostOperationStep.ORDERED, callId, tick.nowMs()));
        tick.log("host-order", describe(row) + " fence=" + fence);
        tick.emit(
                row.destinationPool().isEmpty()
                        ? new MaintainHost(callId, row.host(), row.wave(), fence)
                        : new MoveHost(callId, row.host(), row.destinationPool(), fence));
    }

    /** Returns whether the cap of the host's wave lets it go now. */
    private static boolean mayGo(SchedulerTick tick, HostOperationRow row) {
        if (!row.destinationPool().isEmpty() || row.step().mayBeOutOfService()) {
            return true;
        }
        WaveRow wave = tick.world().waves().find(row.wave()).orElse(null);
        return wave != null && away(tick, wave) < wave.order().maxConcurrentHosts();
    }

    /** Returns how many hosts of a wave may be out of service by orders of any owner. */
    private static int away(SchedulerTick tick, WaveRow wave) {
        int away = 0;
        for (String id : wave.order().hosts()) {
            boolean ordered =
                    tick.world()
                            .hostOperations()
                            .find(id)
                            .filter(t -> t.step().mayBeOutOfService())
                            .isPresent();
            away += ordered || mayBeOutByEarlierOwner(tick, id) ? 1 : 0;
        }
        return away;
    }

    /** Returns whether a host may be out of service by an order of an earlier owner. */
    static boolean mayBeOutByEarlierOwner(SchedulerTick tick, String host) {
        boolean listed =
                tick.world()
                        .hosts()
                        .find(host)
                        .filter(h -> h.state() == HostState.MAINTENANCE)
                        .isPresent();
        return listed || HostOrderSystem.isDeferred(tick, host);
    }

    /** Waits until the platform says that the host is up again, with another executor if any. */
    private static void back(SchedulerTick tick, HostOperationRow row) {
        SchedulerWorld world = tick.world();
        HostReport host = world.hosts().find(row.host()).orElse(null);
        boolean fresh = world.hostList().get().listedMs() > row.stepSinceMs() + RETRY_MS;
        boolean returned =
                host == null
                        || host.state() == HostState.UP
                                && (row.executor().isEmpty()
                                        || !host.executor().equals(row.executor())
                                        || hasAnswered(world, row));
        if (fresh && returned) {
            world.hostOperations().remove(row.host());
            tick.log("host-back", describe(row));
        }
    }

    /** Returns whether the host's executor lives on: the order was carried out earlier already. */
    private static boolean hasAnswered(SchedulerWorld world, HostOperationRow row) {
        return world.executorSessions()
                .find(row.executor())
                .filter(c -> c.lastAnswerMs() > row.stepSinceMs())
                .isPresent();
    }
}
