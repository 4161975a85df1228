package org.hibiscususher.core.request;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Input.RequestCancelled;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.rollout.Freshness;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Admits requests to their queues, or refuses them. */
public final class AdmissionSystem {
    private AdmissionSystem() {}

    /** Admits or refuses the requests that have arrived, and forgets cancelled ones. */
    public static void run(Tick tick) {
        for (RequestArrived arrival : tick.inputs(RequestArrived.class)) {
            Optional<Refusal> refusal = refusalOf(tick, arrival);
            if (refusal.isPresent()) {
                Refusals.refuse(tick, arrival.requestId(), refusal.get());
            } else {
                admit(tick, arrival);
            }
        }
        for (RequestCancelled cancelled : tick.inputs(RequestCancelled.class)) {
            tick.world()
                    .requests()
                    .find(cancelled.requestId())
                    .filter(r -> r.state().placeable())
                    .ifPresent(r -> tick.world().requests().remove(r.id()));
        }
    }

    private static Optional<Refusal> refusalOf(Tick tick, RequestArrived arrival) {
        World world = tick.world();
        if (!world.node().stage().admits()) {
            return Optional.of(Refusal.ENTRY_LEAVING);
        }
        if (!Freshness.vouches(world, tick.nowMs())) {
            return Optional.of(Refusal.CONFIGURATION_STALE);
        }
        QueueSpec queue = world.configuration().queues().get(arrival.queue());
        if (queue == null) {
            return Optional.of(Refusal.QUEUE_UNKNOWN);
        }
        if (arrival.key().isEmpty() && queue.openTeam().isEmpty()) {
            return Optional.of(Refusal.KEY_MISSING);
        }
        Optional<TeamSpec> team = teamOf(world, arrival, queue);
        if (team.isEmpty()) {
            return Optional.of(Refusal.KEY_UNKNOWN);
        }
        if (team.get().upperLimit() == 0) {
            return Optional.of(Refusal.TEAM_AT_LIMIT);
        }
        return capacityRefusal(world, arrival, queue);
    }

    private static Optional<Refusal> capacityRefusal(
            World world, RequestArrived arrival, QueueSpec queue) {
        List<HostRow> hosts =
                world.hosts().rows().stream().filter(h -> h.pool().equals(queue.pool())).toList();
        if (hosts.isEmpty()) {
            return Optional.of(Refusal.POOL_EMPTY);
        }
        if (hosts.stream().noneMatch(h -> h.spec().capacity().fits(arrival.needs()))) {
            return Optional.of(Refusal.NEVER_FITS);
        }
        long waiting =
                world.requests().rows().stream()
                        .filter(r -> r.state().placeable())
                        .filter(r -> r.arrival().queue().equals(queue.id()))
                        .count();
        return waiting >= queue.maxWaiting() ? Optional.of(Refusal.QUEUE_FULL) : Optional.empty();
    }

    private static Optional<TeamSpec> teamOf(World world, RequestArrived arrival, QueueSpec queue) {
        Optional<String> team =
                arrival.key().isPresent()
                        ? world.keys().find(arrival.key().get()).map(KeySpec::team)
                        : queue.openTeam();
        return team.map(t -> world.configuration().teams().get(t));
    }

    private static void admit(Tick tick, RequestArrived arrival) {
        World world = tick.world();
        QueueSpec queue = world.configuration().queues().get(arrival.queue());
        int waitLimit =
                arrival.waitLimitMs() == 0
                        ? queue.waitLimitMs()
                        : Math.min(arrival.waitLimitMs(), queue.waitLimitMs());
        RequestRow row =
                new RequestRow(
                        arrival,
                        teamOf(world, arrival, queue).orElseThrow().id(),
                        queue.pool(),
                        queue.kind(),
                        queue.runLimitMs(),
                        tick.nowMs(),
                        tick.nowMs() + waitLimit,
                        RequestState.WAITING,
                        0,
                        -1,
                        false,
                        List.of(),
                        List.of());
        world.requests().put(arrival.requestId(), row);
        tick.count("request.admitted");
    }
}
