package org.hibiscususher.core.request;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.message.Output.StartAttempt;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.rollout.Freshness;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Starts waiting requests on hosts for which this entry holds permits. */
public final class PlacementSystem {
    private PlacementSystem() {}

    /** Refuses requests that have waited too long and starts as many others as permits allow. */
    public static void run(Tick tick) {
        World world = tick.world();
        Map<Lane, Deque<RequestRow>> lanes = new LinkedHashMap<>();
        for (RequestRow row : world.requests().rows()) {
            if (!row.state().placeable()) {
                continue;
            }
            if (tick.nowMs() >= row.startByMs()) {
                Refusals.refuse(tick, row, waitRefusal(world, row));
            } else {
                lanes.computeIfAbsent(Lane.of(row), l -> new ArrayDeque<>()).add(row);
            }
        }
        while (!lanes.isEmpty() && Freshness.vouches(world, tick.nowMs())) {
            Lane lane =
                    lanes.keySet().stream()
                            .min(
                                    Comparator.comparing((Lane l) -> l.kind())
                                            .thenComparing(l -> loadOf(world, l)))
                            .orElseThrow();
            Deque<RequestRow> waiting = lanes.get(lane);
            if (!start(tick, waiting.poll()) || waiting.isEmpty()) {
                lanes.remove(lane);
            }
        }
    }

    private static Refusal waitRefusal(World world, RequestRow row) {
        return Permits.idle(world, PermitKey.unit(row.team())) == 0
                ? Refusal.TEAM_AT_LIMIT
                : Refusal.WAIT_LIMIT;
    }

    private static double loadOf(World world, Lane lane) {
        long running =
                world.requests().rows().stream()
                        .filter(r -> r.state() == RequestState.RUNNING)
                        .filter(r -> r.pool().equals(lane.pool()) && r.team().equals(lane.team()))
                        .count();
        TeamSpec team = world.configuration().teams().get(lane.team());
        return team == null ? running : (double) running / team.share();
    }

    private static boolean start(Tick tick, RequestRow row) {
        World world = tick.world();
        if (!Permits.idle(world, Permits.neededAnywhere(row))) {
            return false;
        }
        Optional<HostRow> host =
                world.hosts().rows().stream()
                        .filter(h -> h.pool().equals(row.pool()))
                        .filter(h -> h.stage().takesWork())
                        .filter(h -> h.restUntilMs() <= tick.nowMs())
                        .filter(h -> h.spec().capacity().fits(row.arrival().needs()))
                        .filter(h -> !row.triedHosts().contains(h.spec().id()))
                        .filter(h -> idleSlots(world, h) > 0)
                        .max(Comparator.comparingInt(h -> idleSlots(world, h)));
        if (host.isEmpty()) {
            return false;
        }
        String id = host.get().spec().id();
        List<PermitKey> permits = Permits.needed(row, id);
        Permits.use(world, permits);
        RequestRow started = row.started(tick.nowMs(), id, permits);
        world.requests().put(row.id(), started);
        tick.emit(
                new StartAttempt(
                        row.id(),
                        started.attempt(),
                        id,
                        host.get().spec().address(),
                        row.runLimitMs()));
        return true;
    }

    private static int idleSlots(World world, HostRow host) {
        return Permits.idle(world, PermitKey.slot(host.pool(), host.spec().id()));
    }

    /** Requests that wait for the same permits, in order of arrival. */
    private record Lane(QueueKind kind, String pool, String team) {
        static Lane of(RequestRow row) {
            return new Lane(row.kind(), row.pool(), row.team());
        }
    }
}
