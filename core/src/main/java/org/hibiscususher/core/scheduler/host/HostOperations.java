package org.hibiscususher.core.scheduler.host;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.hibiscususher.core.scheduler.evacuation.ZoneEvacuations;
import org.hibiscususher.core.scheduler.executor.RunLifecycle;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.message.OrderValidity;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HostOrderCompleted;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.MaintainHost;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.MoveHost;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.HostOperationRow;
import org.hibiscususher.core.scheduler.world.HostOperationStep;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.WaveRow;

/**
 * The operations that maintain a host or move it to another pool: its executor is emptied, the
 * platform is ordered to take the host out of service, and the host returns.
 *
 * <p>An order without a response may have been carried out. The host counts against its wave's cap
 * until the same order is answered, since otherwise more hosts than the cap could be out of
 * service.
 */
final class HostOperations {
    /** Time after which an order counts as unanswered, in milliseconds. */
    private static final long ORDER_TIMEOUT_MS = 3_000;

    /** Delay before an order is repeated, in milliseconds. */
    private static final long RETRY_DELAY_MS = 300;

    /**
     * Time without orders for a host that could not be moved, in milliseconds. Without it a host
     * that was already leaving got 20 orders a second.
     */
    private static final long FAILED_MOVE_DELAY_MS = 2_000;

    private HostOperations() {}

    /**
     * Begins an operation: the host's executor gets no new runs.
     *
     * @param wave number of the wave; 0 for a move
     * @param pool pool to move the host to; empty for maintenance
     */
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

    /** Applies the result of the order that is awaited for a host; ignores any other. */
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
                recordStarted(tick, row);
                world.hostOperations()
                        .put(row.host(), row.withStep(HostOperationStep.AWAY, 0, tick.nowMs()));
                RunLifecycle.removeExecutor(tick, row.executor(), "host-ordered-away");
            }
            case NO_ANSWER -> markUnanswered(tick, row);
            case NOT_IN_WAVE, INVALID -> {
                recordStarted(tick, row);
                abandon(tick, row);
            }
            default -> retry(tick, row);
        }
    }

    /**
     * Records that the maintenance of a host has begun or never will, so that no later owner orders
     * it again.
     */
    private static void recordStarted(SchedulerTick tick, HostOperationRow row) {
        SchedulerWorld world = tick.world();
        WaveRow wave = world.waves().find(row.wave()).orElse(null);
        if (wave == null) {
            return;
        }
        Set<String> startedHosts = new HashSet<>(wave.startedHosts());
        startedHosts.add(row.host());
        world.waves().put(row.wave(), wave.withStartedHosts(startedHosts));
        StoredRecord record = new StoredRecord.Wave(row.wave(), new ArrayList<>(startedHosts));
        world.pendingRecords().put(record.name(), record);
    }

    /** Ends an operation without effect: the host's executor gets new runs again. */
    static void abandon(SchedulerTick tick, HostOperationRow row) {
        tick.world().hostOperations().remove(row.host());
        tick.world().executors().update(row.executor(), e -> e.withCordoned(false));
    }

    /** Schedules a maintenance order again after a delay, but abandons a move. */
    private static void retry(SchedulerTick tick, HostOperationRow row) {
        HostOrderSystem.recordUse(tick, row.host());
        if (row.destinationPool().isEmpty()) {
            long atMs = tick.nowMs() + RETRY_DELAY_MS;
            tick.world().hostOperations().put(row.host(), row.withRetryAt(atMs));
        } else {
            HostOrderSystem.deferOrders(tick, row.host(), FAILED_MOVE_DELAY_MS);
            abandon(tick, row);
        }
    }

    /** Counts the host as out of service until the same order is answered. */
    private static void markUnanswered(SchedulerTick tick, HostOperationRow row) {
        HostOrderSystem.recordUse(tick, row.host());
        long atMs = tick.nowMs() + RETRY_DELAY_MS;
        tick.world().hostOperations().put(row.host(), row.asUnanswered(atMs));
    }

    /** Advances an operation by the step that is due, if any. */
    static void advance(SchedulerTick tick, HostOperationRow row) {
        boolean isMove = !row.destinationPool().isEmpty();
        if (isMove
                && row.step() == HostOperationStep.EMPTYING
                && ZoneEvacuations.isEvacuated(tick.world(), row)) {
            tick.log("host-move-abandoned", describe(row) + " reason=zone-evacuated");
            abandon(tick, row);
            return;
        }
        switch (row.step()) {
            case EMPTYING, UNANSWERED -> emptyHost(tick, row);
            case ORDERED -> {
                if (tick.nowMs() - row.stepSinceMs() > ORDER_TIMEOUT_MS) {
                    markUnanswered(tick, row);
                }
            }
            default -> finishIfBack(tick, row);
        }
    }

    /** Evicts the host's runs, and sends the order once the host is empty and may go. */
    private static void emptyHost(SchedulerTick tick, HostOperationRow row) {
        SchedulerWorld world = tick.world();
        boolean isEmpty = Eviction.evict(tick, row.executor(), row.stepSinceMs());
        boolean due = tick.nowMs() >= row.retryAtMs();
        if (!isEmpty
                || !due
                || !mayLeaveService(tick, row)
                || !HostOrderSystem.mayOrder(tick, row.host())) {
            return;
        }
        HostOrderSystem.recordUse(tick, row.host());
        long callId = tick.nextCallId();
        long fence = world.term().get().fence();
        world.hostOperations()
                .put(row.host(), row.withStep(HostOperationStep.ORDERED, callId, tick.nowMs()));
        tick.log("host-order", describe(row) + " fence=" + fence);
        OrderValidity validity = Authority.hostOrderValidity(tick);
        tick.emit(
                row.destinationPool().isEmpty()
                        ? new MaintainHost(callId, row.host(), row.wave(), fence, validity)
                        : new MoveHost(callId, row.host(), row.destinationPool(), fence, validity));
    }

    /** Returns whether the cap of the host's wave allows it to go out of service now. */
    private static boolean mayLeaveService(SchedulerTick tick, HostOperationRow row) {
        if (!row.destinationPool().isEmpty() || row.step().mayBeOutOfService()) {
            return true;
        }
        WaveRow wave = tick.world().waves().find(row.wave()).orElse(null);
        return wave != null && countOutOfService(tick, wave) < wave.order().maxConcurrentHosts();
    }

    /** Returns how many hosts of a wave may be out of service by orders of any owner. */
    private static int countOutOfService(SchedulerTick tick, WaveRow wave) {
        int count = 0;
        for (String id : wave.order().hosts()) {
            boolean ordered =
                    tick.world()
                            .hostOperations()
                            .find(id)
                            .filter(o -> o.step().mayBeOutOfService())
                            .isPresent();
            count += ordered || mayBeOutByEarlierOwner(tick, id) ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns whether a host may be out of service because of an order of an earlier owner: it is
     * listed as under maintenance, or orders for it are delayed.
     */
    static boolean mayBeOutByEarlierOwner(SchedulerTick tick, String host) {
        boolean listed =
                tick.world()
                        .hosts()
                        .find(host)
                        .filter(h -> h.state() == HostState.MAINTENANCE)
                        .isPresent();
        return listed || HostOrderSystem.isDeferred(tick, host);
    }

    /**
     * Ends the operation once the platform lists the host as up again, with a new executor if it
     * had one. A host that is no longer listed counts as returned.
     */
    private static void finishIfBack(SchedulerTick tick, HostOperationRow row) {
        SchedulerWorld world = tick.world();
        HostReport host = world.hosts().find(row.host()).orElse(null);
        boolean listedSince =
                world.hostList().get().listedMs() > row.stepSinceMs() + RETRY_DELAY_MS;
        boolean returned =
                host == null
                        || host.state() == HostState.UP
                                && (row.executor().isEmpty()
                                        || !host.executor().equals(row.executor())
                                        || hasResponded(world, row));
        if (listedSince && returned) {
            world.hostOperations().remove(row.host());
            tick.log("host-back", describe(row));
        }
    }

    /**
     * Returns whether the host's executor has responded since the order was answered. It has if an
     * earlier owner's order was carried out already, so that this one had no effect.
     */
    private static boolean hasResponded(SchedulerWorld world, HostOperationRow row) {
        return world.executorSessions()
                .find(row.executor())
                .filter(s -> s.lastAnswerMs() > row.stepSinceMs())
                .isPresent();
    }
}
