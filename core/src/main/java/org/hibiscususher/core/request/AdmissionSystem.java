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

/**
 * Admits arriving requests to their queues, or refuses them.
 *
 * <p>A request is refused at once when it cannot run or is not expected to start within its wait
 * limit, so that its caller does not wait in vain. An admitted request that is not idempotent and
 * has an idempotency key first claims that key; any other can be placed immediately.
 */
public final class AdmissionSystem {
    private AdmissionSystem() {}

    /** Handles the arrivals since the last tick, and drops unsent requests that were cancelled. */
    public static void run(Tick tick) {
        List<RequestArrived> arrivals = tick.inputs(RequestArrived.class);
        if (!arrivals.isEmpty()) {
            admitOrRefuse(tick, arrivals);
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

    private static void admitOrRefuse(Tick tick, List<RequestArrived> arrivals) {
        WaitingCounts counts = WaitingCounts.of(tick.world());
        Map<String, PoolCapacity> pools = new LinkedHashMap<>();
        for (RequestArrived arrival : arrivals) {
            Optional<Refusal> refusal = findRefusal(tick, arrival, counts, pools);
            if (refusal.isPresent()) {
                Refusals.refuse(tick, arrival.requestId(), refusal.get());
            } else {
                counts.add(admit(tick, arrival));
            }
        }
    }

    private static Optional<Refusal> findRefusal(
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
        if (needsKeyClaim(arrival) && IdempotencyKey.parse(arrival.idempotencyKey()).isEmpty()) {
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

    /**
     * Returns a refusal if the expected wait exceeds the request's wait limit.
     *
     * <p>The wait is estimated from the mean of recent run times; until enough run times of the
     * queue have been observed, no request is refused for this reason.
     */
    private static Optional<Refusal> waitRefusal(
            Tick tick,
            RequestArrived arrival,
            QueueSpec queue,
            TeamSpec team,
            WaitingCounts counts,
            PoolCapacity pool) {
        World world = tick.world();
        Optional<QueueStatsRow> stats =
                world.queueStats().find(queue.id()).filter(QueueStatsRow::hasEnoughSamples);
        if (stats.isEmpty()) {
            return Optional.empty();
        }
        int waiting = counts.waiting(queue.id(), team.id());
        double expectedWaitMs =
                pool.minWaitMs(
                        world, team.id(), team.upperLimit(), waiting, stats.get().meanRunMs());
        if (expectedWaitMs <= waitLimitMs(arrival, queue)) {
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

    private static boolean needsKeyClaim(RequestArrived arrival) {
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
        boolean needsKeyClaim = needsKeyClaim(arrival);
        RequestRow row =
                new RequestRow(
                        arrival,
                        teamOf(world, arrival, queue).orElseThrow().id(),
                        queue.pool(),
                        queue.kind(),
                        queue.runLimitMs(),
                        tick.nowMs(),
                        tick.nowMs() + waitLimitMs(arrival, queue),
                        needsKeyClaim ? RequestState.CLAIMING : RequestState.WAITING,
                        0,
                        -1,
                        false,
                        List.of(),
                        List.of());
        world.requests().put(arrival.requestId(), row);
        if (needsKeyClaim) {
            IdempotencyKeyClaims.open(tick, row);
        }
        tick.count("request.admitted");
        return row;
    }
}
