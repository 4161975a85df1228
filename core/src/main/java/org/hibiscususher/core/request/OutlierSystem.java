package org.hibiscususher.core.request;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.config.AvailabilityBudget;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.AttemptEnded;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Sets hosts aside that fail what they start, within the pool's availability budget, and lets one
 * request at a time through to find out whether they work again.
 */
public final class OutlierSystem {
    private static final int FAULTS_TO_REST = 3;
    private static final int FIRST_REST_MS = 1_000;
    private static final int MAX_REST_MS = 5_000;
    private static final int MAX_DOUBLINGS = 5;

    /** How long a probe keeps other requests away, unless its end is known before. */
    private static final int PROBE_MS = 2_000;

    /** How long a host is left alone that fails and that the budget keeps in service. */
    private static final int PACE_MS = 100;

    /** How long a host is left alone that has declined work, as in a graceful shutdown. */
    private static final int DECLINED_REST_MS = 1_000;

    /** After this time a probe need not be idempotent. */
    private static final int PROBE_PATIENCE_MS = 5_000;

    private OutlierSystem() {}

    /** Takes in how attempts have ended since the last tick. */
    public static void run(Tick tick) {
        World world = tick.world();
        for (AttemptEnded ended : tick.inputs(AttemptEnded.class)) {
            world.requests()
                    .find(ended.requestId())
                    .filter(r -> r.state() == RequestState.RUNNING)
                    .filter(r -> r.attempt() == ended.attempt())
                    .ifPresent(r -> judge(tick, r, ended.outcome()));
        }
    }

    private static void judge(Tick tick, RequestRow row, AttemptOutcome outcome) {
        Optional<HostRow> found = tick.world().hosts().find(row.host());
        if (found.isEmpty()) {
            return;
        }
        HostRow host = found.get();
        if (outcome == AttemptOutcome.DECLINED) {
            rest(tick, host, host.consecutiveFaults(), DECLINED_REST_MS);
        } else if (outcome.isHostFault() && (!rests(tick, host) || isProbe(host, row))) {
            fault(tick, host, outcome);
        } else if (outcome == AttemptOutcome.ANSWERED && host.consecutiveFaults() > 0) {
            tick.world().hosts().put(host.spec().id(), host.withFaults(0, 0));
        }
    }

    private static void fault(Tick tick, HostRow host, AttemptOutcome outcome) {
        boolean blamable = outcome.notRun() || !othersFailToo(tick.world(), host);
        int seen = host.consecutiveFaults() + 1;
        int faults = blamable ? seen : Math.min(seen, FAULTS_TO_REST - 1);
        HostRow marked = host.withFaults(faults, host.quarantinedUntilMs());
        tick.world().hosts().put(host.spec().id(), marked);
        if (faults < FAULTS_TO_REST) {
            return;
        }
        if (budgetAllows(tick, host)) {
            int doublings = Math.min(faults - FAULTS_TO_REST, MAX_DOUBLINGS);
            int restMs = Math.min(FIRST_REST_MS << doublings, MAX_REST_MS);
            tick.count("outlier.set-aside");
            rest(tick, marked, faults, restMs);
        } else {
            tick.count("outlier.budget-spent");
            rest(tick, marked, faults, PACE_MS);
        }
    }

    private static void rest(Tick tick, HostRow host, int faults, int restMs) {
        long untilMs = tick.nowMs() + restMs;
        tick.world().hosts().put(host.spec().id(), host.withFaults(faults, untilMs));
    }

    /**
     * Returns whether at least half of the pool's other hosts fail as well: then the requests are
     * at fault rather than the host.
     */
    private static boolean othersFailToo(World world, HostRow host) {
        List<HostRow> others = others(world, host);
        long failing = others.stream().filter(h -> h.consecutiveFaults() > 0).count();
        return !others.isEmpty() && 2 * failing >= others.size();
    }

    private static boolean budgetAllows(Tick tick, HostRow host) {
        World world = tick.world();
        AvailabilityBudget budget =
                Optional.ofNullable(world.configuration().pools().get(host.pool()))
                        .map(PoolSpec::budget)
                        .orElse(AvailabilityBudget.ONE_HOST);
        List<HostRow> others = others(world, host);
        List<HostRow> out = others.stream().filter(h -> isOut(tick, h)).toList();
        long inZone = out.stream().filter(h -> h.spec().zone().equals(host.spec().zone())).count();
        return out.size() < others.size()
                && out.size() < budget.maxUnavailable()
                && inZone < budget.maxUnavailablePerZone();
    }

    private static List<HostRow> others(World world, HostRow host) {
        return world.hosts().rows().stream()
                .filter(h -> h.pool().equals(host.pool()))
                .filter(h -> !h.spec().id().equals(host.spec().id()))
                .toList();
    }

    private static boolean isOut(Tick tick, HostRow host) {
        return !host.stage().acceptsWork() || rests(tick, host);
    }

    private static boolean rests(Tick tick, HostRow host) {
        return host.consecutiveFaults() >= FAULTS_TO_REST
                && host.quarantinedUntilMs() > tick.nowMs();
    }

    /** Returns whether the present rest began with the start of the given request. */
    private static boolean isProbe(HostRow host, RequestRow row) {
        long restMs = host.quarantinedUntilMs() - row.startedMs();
        return restMs == PROBE_MS || restMs == PACE_MS;
    }

    /** Returns whether a host that takes work may get this request now. */
    static boolean allowsStart(Tick tick, HostRow host, RequestRow row) {
        long restedMs = tick.nowMs() - host.quarantinedUntilMs();
        if (restedMs < 0) {
            return false;
        }
        return host.consecutiveFaults() < FAULTS_TO_REST
                || row.arrival().idempotent()
                || restedMs >= PROBE_PATIENCE_MS;
    }

    /** Notes that a request was started on a host: a probe keeps further ones away for a while. */
    static void recordStart(Tick tick, HostRow host) {
        if (host.consecutiveFaults() >= FAULTS_TO_REST) {
            tick.count("outlier.probe");
            int restMs = budgetAllows(tick, host) ? PROBE_MS : PACE_MS;
            rest(tick, host, host.consecutiveFaults(), restMs);
        }
    }
}
