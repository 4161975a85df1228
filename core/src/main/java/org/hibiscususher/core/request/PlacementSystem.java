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

/** Starts waiting requests on hosts for which this entry holds permits. */
public final class PlacementSystem {
    /** How many requests of a lane are tried when the first ones fit no idle host. */
    private static final int TRIED_PER_LANE = 8;

    /** Time between two searches for requests that have waited too long, in milliseconds. */
    private static final int REFUSE_EVERY_MS = 10;

    private PlacementSystem() {}

    /** Refuses requests that have waited too long and starts as many others as permits allow. */
    public static void run(Tick tick) {
        World world = tick.world();
        boolean refuses =
                tick.nowMs() / REFUSE_EVERY_MS != world.node().lastTickMs() / REFUSE_EVERY_MS;
        Set<SchedulingClass> lanes = new LinkedHashSet<>();
        for (SchedulingClass lane : List.copyOf(world.requests().groups())) {
            if (lane.state().placeable()) {
                if (refuses) {
                    refuseLate(tick, lane);
                }
                lanes.add(lane);
            }
        }
        lanes.removeIf(l -> !open(world, l));
        if (lanes.isEmpty() || !Freshness.isFresh(world, tick.nowMs())) {
            return;
        }
        SchedulingOrder order = SchedulingOrder.of(tick, lanes);
        while (!lanes.isEmpty()) {
            SchedulingClass lane = order.next(lanes);
            if (open(world, lane) && startOne(tick, lane)) {
                order.recordStart(lane);
            } else {
                lanes.remove(lane);
            }
            if (world.requests().group(lane).isEmpty()) {
                lanes.remove(lane);
            }
        }
    }

    private static void refuseLate(Tick tick, SchedulingClass lane) {
        List<RequestRow> late = new ArrayList<>();
        for (RequestRow row : tick.world().requests().group(lane)) {
            if (tick.nowMs() >= row.startByMs()) {
                late.add(row);
            }
        }
        for (RequestRow row : late) {
            Refusals.refuse(tick, row, waitRefusal(tick.world(), row));
        }
    }

    private static Refusal waitRefusal(World world, RequestRow row) {
        return Permits.idle(world, PermitKey.unit(row.team())) == 0
                ? Refusal.TEAM_AT_LIMIT
                : Refusal.WAIT_LIMIT;
    }

    /** Returns whether a lane has requests and the permits that they need on any host. */
    private static boolean open(World world, SchedulingClass lane) {
        return !world.requests().group(lane).isEmpty()
                && Permits.idle(world, Permits.neededOnAnyHost(lane))
                && Permits.idleSlots(world, lane.pool()) > 0;
    }

    private static boolean startOne(Tick tick, SchedulingClass lane) {
        World world = tick.world();
        int tried = 0;
        for (RequestRow row : world.requests().group(lane)) {
            Optional<HostRow> host = hostFor(tick, row);
            if (host.isPresent()) {
                start(tick, row, host.get());
                return true;
            }
            tried++;
            if (tried == TRIED_PER_LANE) {
                return false;
            }
        }
        return false;
    }

    private static Optional<HostRow> hostFor(Tick tick, RequestRow row) {
        HostRow best = null;
        int mostIdle = 0;
        boolean bestElsewhere = false;
        Set<String> zones = triedZones(tick.world(), row);
        for (HostRow host : tick.world().hosts().group(row.pool())) {
            int idle = idleSlots(tick.world(), host);
            if (idle > 0 && takes(tick, host, row)) {
                boolean elsewhere = !zones.contains(host.spec().zone());
                boolean better = elsewhere == bestElsewhere ? idle > mostIdle : elsewhere;
                if (better) {
                    best = host;
                    mostIdle = idle;
                    bestElsewhere = elsewhere;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the zones of the hosts that were tried: a further attempt goes elsewhere if it can.
     */
    private static Set<String> triedZones(World world, RequestRow row) {
        Set<String> zones = new LinkedHashSet<>();
        for (String host : row.triedHosts()) {
            world.hosts().find(host).ifPresent(h -> zones.add(h.spec().zone()));
        }
        return zones;
    }

    private static boolean takes(Tick tick, HostRow host, RequestRow row) {
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
