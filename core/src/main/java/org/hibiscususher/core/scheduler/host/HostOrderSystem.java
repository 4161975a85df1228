package org.hibiscususher.core.scheduler.host;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.HostOrderRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * Records in the store which hosts receive orders, before the orders are sent.
 *
 * <p>Two successive owners must not both send orders for the same host within a short time: an
 * order of the first may still be under way, so the host could go out of service twice. A new owner
 * therefore delays orders for the hosts that the store names, and may send orders for all other
 * hosts at once.
 */
public final class HostOrderSystem {
    /** Time for which a host stays recorded after its last order, in milliseconds. */
    private static final long RETENTION_MS = 4_000;

    private HostOrderSystem() {}

    /** Drops hosts whose last order is old, and queues a changed record to be stored. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        if (!world.term().get().isScheduling()) {
            return;
        }
        List<String> hosts = new ArrayList<>();
        for (HostOrderRow row : world.hostOrders().rows()) {
            boolean expired = tick.nowMs() - row.usedMs() > RETENTION_MS;
            if (expired && !world.hostOperations().contains(row.host())) {
                world.hostOrders().remove(row.host());
            } else {
                hosts.add(row.host());
            }
        }
        StoredRecord.HostOrders record = new StoredRecord.HostOrders(hosts);
        boolean unchanged = record.equals(world.recordedHostOrders().get());
        if (!unchanged && !world.pendingRecords().contains(RecordName.HOST_ORDERS)) {
            world.recordedHostOrders().set(record);
            world.pendingRecords().put(RecordName.HOST_ORDERS, record);
        }
    }

    /** Marks a host as one whose order is prepared or was sent just now. */
    static void recordUse(SchedulerTick tick, String host) {
        SchedulerWorld world = tick.world();
        HostOrderRow row =
                world.hostOrders().find(host).orElse(new HostOrderRow(host, false, 0, 0));
        world.hostOrders().put(host, row.withUsedAt(tick.nowMs()));
    }

    /** Delays further orders for a host by the given number of milliseconds. */
    static void deferOrders(SchedulerTick tick, String host, long forMs) {
        long untilMs = tick.nowMs() + forMs;
        tick.world()
                .hostOrders()
                .update(host, row -> new HostOrderRow(host, row.recorded(), untilMs, tick.nowMs()));
    }

    /** Returns whether an order for a host may be sent: the store names it and no delay runs. */
    static boolean mayOrder(SchedulerTick tick, String host) {
        return tick.world()
                .hostOrders()
                .find(host)
                .filter(row -> row.recorded() && tick.nowMs() >= row.notBeforeMs())
                .isPresent();
    }

    /** Returns whether orders for a host are still delayed. */
    static boolean isDeferred(SchedulerTick tick, String host) {
        return tick.world()
                .hostOrders()
                .find(host)
                .filter(row -> tick.nowMs() < row.notBeforeMs())
                .isPresent();
    }
}
