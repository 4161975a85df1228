package org.hibiscususher.core.scheduler.host;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.HostOrderRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * Has the store name the hosts for which orders are given, before they are given.
 *
 * <p>Two owners that follow each other must not both order the same host within a short time. A new
 * owner rests for the hosts that the store names and orders all others at once.
 */
public final class HostOrderSystem {
    /** Time for which a host stays named after its last order, in milliseconds. */
    private static final long KEEP_MS = 4_000;

    private HostOrderSystem() {}

    /** Runs over the hosts with orders. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        if (!world.term().get().isScheduling()) {
            return;
        }
        List<String> hosts = new ArrayList<>();
        for (HostOrderRow row : world.hostOrders().rows()) {
            boolean over = tick.nowMs() - row.usedMs() > KEEP_MS;
            if (over && !world.hostOperations().contains(row.host())) {
                world.hostOrders().remove(row.host());
            } else {
                hosts.add(row.host());
            }
        }
        StoredRecord.HostOrders record = new StoredRecord.HostOrders(hosts);
        boolean same = record.equals(world.recordedHostOrders().get());
        if (!same && !world.pendingRecords().contains(RecordName.HOST_ORDERS)) {
            world.recordedHostOrders().set(record);
            world.pendingRecords().put(RecordName.HOST_ORDERS, record);
        }
    }

    /** Notes that orders for a host are to be given, or were given just now. */
    static void recordUse(SchedulerTick tick, String host) {
        SchedulerWorld world = tick.world();
        HostOrderRow row =
                world.hostOrders().find(host).orElse(new HostOrderRow(host, false, 0, 0));
        world.hostOrders().put(host, row.withUsedAt(tick.nowMs()));
    }

    /** Gives no orders for a host for some time. */
    static void deferOrders(SchedulerTick tick, String host, long forMs) {
        long untilMs = tick.nowMs() + forMs;
        tick.world()
                .hostOrders()
                .update(host, row -> new HostOrderRow(host, row.recorded(), untilMs, tick.nowMs()));
    }

    /** Returns whether an order for a host may be given now. */
    static boolean mayOrder(SchedulerTick tick, String host) {
        return tick.world()
                .hostOrders()
                .find(host)
                .filter(row -> row.recorded() && tick.nowMs() >= row.notBeforeMs())
                .isPresent();
    }

    /** Returns whether no orders for a host may be given for some time. */
    static boolean isDeferred(SchedulerTick tick, String host) {
        return tick.world()
                .hostOrders()
                .find(host)
                .filter(row -> tick.nowMs() < row.notBeforeMs())
                .isPresent();
    }
}
