package org.hibiscususher.core.request;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.message.Output.StartAttempt;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.rollout.Freshness;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.SchedulingClass;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Starts waiting requests on hosts for which this entry holds permits.
 *
 * <p>An attempt needs a permit of each kind that applies: a slot of the host, a unit of the team's
 * upper limit and, for long work, a long-run permit of the pool. Nothing starts while this entry's
 * configuration is not known to be current, since a newer one may forbid it.
 */
public final class PlacementSystem {
    /** Requests of a scheduling class that are tried in turn while none fits an idle host. */
    private static final int MAX_TRIED_PER_CLASS = 8;

    /** Interval between two searches for requests past their wait limit, in milliseconds. */
    private static final int EXPIRY_CHECK_INTERVAL_MS = 10;

    private PlacementSystem() {}

    /** Refuses requests past their wait limit and starts as many others as permits allow. */
    public static void run(Tick tick) {
        World world = tick.world();
        boolean checksExpiry =
                tick.nowMs() / EXPIRY_CHECK_INTERVAL_MS
                        != world.node().lastTickMs() / EXPIRY_CHECK_INTERVAL_MS;
        Set<SchedulingClass> classes = new LinkedHashSet<>();
        for (SchedulingClass schedulingClass : List.copyOf(world.requests().groups())) {
            if (schedulingClass.state().placeable()) {
                if (checksExpiry) {
                    refuseExpired(tick, schedulingClass);
                }
                classes.add(schedulingClass);
            }
        }
        classes.removeIf(c -> !canStart(world, c));
        if (classes.isEmpty() || !Freshness.isFresh(world, tick.nowMs())) {
            return;
        }
        SchedulingOrder order = SchedulingOrder.of(tick, classes);
        // A class is done when it is empty, or lacks permits or a host that fits its requests.
        while (!classes.isEmpty()) {
            SchedulingClass schedulingClass = order.next(classes);
            if (canStart(world, schedulingClass) && startOne(tick, schedulingClass)) {
                order.recordStart(schedulingClass);
            } else {
                classes.remove(schedulingClass);
            }
            if (world.requests().group(schedulingClass).isEmpty()) {
                classes.remove(schedulingClass);
            }
        }
    }

    private static void refuseExpired(Tick tick, SchedulingClass schedulingClass) {
        List<RequestRow> expired = new ArrayList<>();
        for (RequestRow row : tick.world().requests().group(schedulingClass)) {
            if (tick.nowMs() >= row.startByMs()) {
                expired.add(row);
            }
        }
        for (RequestRow row : expired) {
            Refusals.refuse(tick, row, expiryRefusal(tick.world(), row));
        }
    }

    private static Refusal expiryRefusal(World world, RequestRow row) {
        return Permits.idle(world, PermitKey.unit(row.team())) == 0
                ? Refusal.TEAM_AT_LIMIT
                : Refusal.WAIT_LIMIT;
    }

    /**
     * Returns whether a scheduling class has requests, the permits that they need whatever the
     * host, and an idle slot in its pool.
     */
    private static boolean canStart(World world, SchedulingClass schedulingClass) {
        return !world.requests().group(schedulingClass).isEmpty()
                && Permits.idle(world, Permits.neededOnAnyHost(schedulingClass))
                && Permits.idleSlots(world, schedulingClass.pool()) > 0;
    }

    private static boolean startOne(Tick tick, SchedulingClass schedulingClass) {
        World world = tick.world();
        int tried = 0;
        for (RequestRow row : world.requests().group(schedulingClass)) {
            Optional<HostRow> host = findHost(tick, row);
            if (host.isPresent()) {
                start(tick, row, host.get());
                return true;
            }
            tried++;
            if (tried == MAX_TRIED_PER_CLASS) {
                return false;
            }
        }
        return false;
    }

    /**
     * Returns the host for a request's next attempt, or empty if none can run it now.
     *
     * <p>Prefers zones that were not tried, then the host with the most idle slots.
     */
    private static Optional<HostRow> findHost(Tick tick, RequestRow row) {
        HostRow best = null;
        int mostIdle = 0;
        boolean bestInUntriedZone = false;
        Set<String> zones = triedZones(tick.world(), row);
        for (HostRow host : tick.world().hosts().group(row.pool())) {
            int idle = idleSlots(tick.world(), host);
            if (idle > 0 && accepts(tick, host, row)) {
                boolean inUntriedZone = !zones.contains(host.spec().zone());
                boolean better =
                        inUntriedZone == bestInUntriedZone ? idle > mostIdle : inUntriedZone;
                if (better) {
                    best = host;
                    mostIdle = idle;
                    bestInUntriedZone = inUntriedZone;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the zones of the hosts that were tried already; a retry prefers other zones. */
    private static Set<String> triedZones(World world, RequestRow row) {
        Set<String> zones = new LinkedHashSet<>();
        for (String host : row.triedHosts()) {
            world.hosts().find(host).ifPresent(h -> zones.add(h.spec().zone()));
        }
        return zones;
    }

    private static boolean accepts(Tick tick, HostRow host, RequestRow row) {
        return host.stage().acceptsWork()
                && OutlierSystem.allowsStart(tick, host, row)
                && host.spec().capacity().fits(row.arrival().needs())
                && !row.triedHosts().contains(host.spec().id());
    }

    private static void start(Tick tick, RequestRow row, HostRow host) {
        String id = host.spec().id();
        List<PermitKey> permits = Permits.needed(row, id);
        Permits.use(tick.world(), permits);
        OutlierSystem.recordStart(tick, host);
        RequestRow started = row.withAttempt(tick.nowMs(), id, permits);
        tick.world().requests().put(row.id(), started);
        tick.emit(
                new StartAttempt(
                        row.id(),
                        started.attempt(),
                        id,
                        host.spec().address(),
                        row.runLimitMs(),
                        QueueSpec.longestRunMs(row.runLimitMs())));
    }

    private static int idleSlots(World world, HostRow host) {
        return Permits.idle(world, PermitKey.slot(host.pool(), host.spec().id()));
    }
}
