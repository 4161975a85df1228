package org.hibiscususher.core.request;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Input.RequestCancelled;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.rollout.Freshness;
import org.hibiscususher.core.world.IdempotencyKey;
import org.hibiscususher.core.world.QueueStatsRow;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Admits requests to their queues, or refuses them. */
public final class AdmissionSystem {
    private AdmissionSystem() {}

    /** Admits or refuses the requests that have arrived, and forgets cancelled ones. */
    public static void run(Tick tick) {
        List<RequestArrived> arrivals = tick.inputs(RequestArrived.class);
        if (!arrivals.isEmpty()) {
            takeIn(tick, arrivals);
        }
        for (RequestCancelled cancelled : tick.inputs(RequestCancelled.class)) {
            tick.world()
                    .requests()
                    .find(cancelled.requestId())
                    .filter(r -> r.state().unsent())
                    .ifPresent(r -> cancel(tick, r));
        }
    }

    private static void cancel(Tick tick, RequestRow row) {
        tick.count("request.cancelled");
        tick.world().requests().remove(row.id());
        IdempotencyKeyClaims.close(tick, row.id(), row.mayHaveRun());
    }

    private static void takeIn(Tick tick, List<RequestArrived> arrivals) {
        WaitingCounts counts = WaitingCounts.of(tick.world());
        Map<String, PoolCapacity> pools = new LinkedHashMap<>();
        for (RequestArrived arrival : arrivals) {
            Optional<Refusal> refusal = refusalOf(tick, arrival, counts, pools);
            if (refusal.isPresent()) {
                Refusals.refuse(tick, arrival.requestId(), refusal.get());
            } else {
                counts.add(admit(tick, arrival));
            }
        }
    }

    private static Optional<Refusal> refusalOf(
            Tick tick,
            RequestArrived arrival,
            WaitingCounts counts,
            Map<String, PoolCapacity> pools) {
        World world = tick.world();
        if (!world.node().stage().admits()) {
            return Optional.of(Refusal.ENTRY_LEAVING);
        }
        if (!Freshness.isFresh(world, tick.nowMs())) {
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
        if (claims(arrival) && IdempotencyKey.parse(arrival.idempotencyKey()).isEmpty()) {
            return Optional.of(Refusal.IDEMPOTENCY_KEY_MALFORMED);
        }
        if (team.get().upperLimit() == 0) {
            return Optional.of(Refusal.TEAM_AT_LIMIT);
        }
        PoolCapacity pool = pools.computeIfAbsent(queue.pool(), p -> PoolCapacity.of(world, p));
        if (!pool.hasHosts()) {
            return Optional.of(Refusal.POOL_EMPTY);
        }
        if (!pool.fits(arrival.needs())) {
            return Optional.of(Refusal.NEVER_FITS);
        }
        if (!counts.hasFreePlace(queue, team.get().id())) {
            return Optional.of(Refusal.QUEUE_FULL);
        }
        return waitRefusal(tick, arrival, queue, team.get(), counts, pool);
    }

    /** Refuses at once what can't start in time, going by the run times seen of late. */
    private static Optional<Refusal> waitRefusal(
            Tick tick,
            RequestArrived arrival,
            QueueSpec queue,
            TeamSpec team,
            WaitingCounts counts,
            PoolCapacity pool) {
        World world = tick.world();
        Optional<QueueStatsRow> load =
                world.queueStats().find(queue.id()).filter(QueueStatsRow::hasEnoughSamples);
        if (load.isEmpty()) {
            return Optional.empty();
        }
        int waiting = counts.waiting(queue.id(), team.id());
        double leastMs =
                pool.minWaitMs(
                        world, team.id(), team.upperLimit(), waiting, load.get().meanRunMs());
        if (leastMs <= waitLimitMs(arrival, queue)) {
            return Optional.empty();
        }
        tick.count("admission.refused-early");
        return Optional.of(Refusal.WAIT_LIMIT);
    }

    private static Optional<TeamSpec> teamOf(World world, RequestArrived arrival, QueueSpec queue) {
        Optional<String> team =
                arrival.key().isPresent()
                        ? world.accessKeys().find(arrival.key().get()).map(KeySpec::team)
                        : queue.openTeam();
        return team.map(t -> world.configuration().teams().get(t));
    }

    private static boolean claims(RequestArrived arrival) {
        return !arrival.idempotent() && !arrival.idempotencyKey().isEmpty();
    }

    private static int waitLimitMs(RequestArrived arrival, QueueSpec queue) {
        return arrival.waitLimitMs() == 0
                ? queue.waitLimitMs()
                : Math.min(arrival.waitLimitMs(), queue.waitLimitMs());
    }

    private static RequestRow admit(Tick tick, RequestArrived arrival) {
        World world = tick.world();
        QueueSpec queue = world.configuration().queues().get(arrival.queue());
        boolean claims = claims(arrival);
        RequestRow row =
                new RequestRow(
                        arrival,
                        teamOf(world, arrival, queue).orElseThrow().id(),
                        queue.pool(),
                        queue.kind(),
                        queue.runLimitMs(),
                        tick.nowMs(),
                        tick.nowMs() + waitLimitMs(arrival, queue),
                        claims ? RequestState.CLAIMING : RequestState.WAITING,
                        0,
                        -1,
                        false,
                        List.of(),
                        List.of());
        world.requests().put(arrival.requestId(), row);
        if (claims) {
            IdempotencyKeyClaims.open(tick, row);
        }
        tick.count("request.admitted");
        return row;
    }
}
