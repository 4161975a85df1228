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
 * Quarantines hosts whose attempts keep failing, and probes them with one request at a time until
 * they work again.
 *
 * <p>A fault that looks like a host's may lie in the requests or affect every host alike.
 * Quarantines therefore stay within the pool's availability budget, and failures after a start do
 * not count towards a quarantine while at least half of the pool's other hosts fail as well. A
 * failing host that the budget keeps in service is throttled instead.
 */
public final class OutlierSystem {
    /** Consecutive faults after which a host is quarantined. */
    private static final int FAULTS_TO_QUARANTINE = 3;

    /** Length of the first quarantine, in milliseconds; doubles with each failed probe. */
    private static final int FIRST_QUARANTINE_MS = 1_000;

    private static final int MAX_QUARANTINE_MS = 5_000;

    /** Bound of the shift that doubles the quarantine. */
    private static final int MAX_DOUBLINGS = 5;

    /** How long a probe keeps other requests away unless it ends earlier, in milliseconds. */
    private static final int PROBE_LIMIT_MS = 2_000;

    /** Pause between attempts on a failing host that the budget keeps in service, in ms. */
    private static final int THROTTLE_MS = 100;

    /** Pause after a host declined work, as in a graceful shutdown, in milliseconds. */
    private static final int DECLINED_PAUSE_MS = 1_000;

    /**
     * Time after the end of a quarantine from which a request that is not idempotent may serve as
     * the probe, in milliseconds. Idempotent requests are preferred because they can be retried if
     * the probe fails.
     */
    private static final int ANY_PROBE_AFTER_MS = 5_000;

    private OutlierSystem() {}

    /** Handles the outcomes of the attempts that have ended since the last tick. */
    public static void run(Tick tick) {
        World world = tick.world();
        for (AttemptEnded ended : tick.inputs(AttemptEnded.class)) {
            world.requests()
                    .find(ended.requestId())
                    .filter(r -> r.state() == RequestState.RUNNING)
                    .filter(r -> r.attempt() == ended.attempt())
                    .ifPresent(r -> applyOutcome(tick, r, ended.outcome()));
        }
    }

    /**
     * Applies the outcome of an attempt to its host.
     *
     * <p>While a host is quarantined, only faults of its probe count. Other attempts were started
     * before the quarantine and say nothing about the host's present state.
     */
    private static void applyOutcome(Tick tick, RequestRow row, AttemptOutcome outcome) {
        Optional<HostRow> found = tick.world().hosts().find(row.host());
        if (found.isEmpty()) {
            return;
        }
        HostRow host = found.get();
        if (outcome == AttemptOutcome.DECLINED) {
            pause(tick, host, host.consecutiveFaults(), DECLINED_PAUSE_MS);
        } else if (outcome.isHostFault() && (!isQuarantined(tick, host) || isProbe(host, row))) {
            recordFault(tick, host, outcome);
        } else if (outcome == AttemptOutcome.ANSWERED && host.consecutiveFaults() > 0) {
            tick.world().hosts().put(host.spec().id(), host.withFaults(0, 0));
        }
    }

    /**
     * Counts a fault, and quarantines or throttles the host if it has had too many in a row.
     *
     * <p>A request that the host did not run cannot have caused the fault. Any other fault leaves
     * the count below a quarantine while the other hosts fail as well.
     */
    private static void recordFault(Tick tick, HostRow host, AttemptOutcome outcome) {
        boolean hostAtFault = outcome.notRun() || !halfOfOthersFail(tick.world(), host);
        int seen = host.consecutiveFaults() + 1;
        int faults = hostAtFault ? seen : Math.min(seen, FAULTS_TO_QUARANTINE - 1);
        HostRow marked = host.withFaults(faults, host.quarantinedUntilMs());
        tick.world().hosts().put(host.spec().id(), marked);
        if (faults < FAULTS_TO_QUARANTINE) {
            return;
        }
        if (budgetAllows(tick, host)) {
            int doublings = Math.min(faults - FAULTS_TO_QUARANTINE, MAX_DOUBLINGS);
            int pauseMs = Math.min(FIRST_QUARANTINE_MS << doublings, MAX_QUARANTINE_MS);
            tick.count("outlier.set-aside");
            pause(tick, marked, faults, pauseMs);
        } else {
            tick.count("outlier.budget-spent");
            pause(tick, marked, faults, THROTTLE_MS);
        }
    }

    /** Keeps requests from a host for a time, with the given count of consecutive faults. */
    private static void pause(Tick tick, HostRow host, int faults, int pauseMs) {
        long untilMs = tick.nowMs() + pauseMs;
        tick.world().hosts().put(host.spec().id(), host.withFaults(faults, untilMs));
    }

    /**
     * Returns whether at least half of the pool's other hosts fail as well, which suggests that the
     * requests are at fault rather than the host.
     */
    private static boolean halfOfOthersFail(World world, HostRow host) {
        List<HostRow> others = others(world, host);
        long failing = others.stream().filter(h -> h.consecutiveFaults() > 0).count();
        return !others.isEmpty() && 2 * failing >= others.size();
    }

    /**
     * Returns whether the pool's availability budget allows this host to be quarantined, with at
     * least one other host of the pool left in service.
     */
    private static boolean budgetAllows(Tick tick, HostRow host) {
        World world = tick.world();
        AvailabilityBudget budget =
                Optional.ofNullable(world.configuration().pools().get(host.pool()))
                        .map(PoolSpec::budget)
                        .orElse(AvailabilityBudget.ONE_HOST);
        List<HostRow> others = others(world, host);
        List<HostRow> out = others.stream().filter(h -> isOutOfService(tick, h)).toList();
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

    private static boolean isOutOfService(Tick tick, HostRow host) {
        return !host.stage().acceptsWork() || isQuarantined(tick, host);
    }

    private static boolean isQuarantined(Tick tick, HostRow host) {
        return host.consecutiveFaults() >= FAULTS_TO_QUARANTINE
                && host.quarantinedUntilMs() > tick.nowMs();
    }

    /** Returns whether the present pause began when the given request was started as a probe. */
    private static boolean isProbe(HostRow host, RequestRow row) {
        long pauseMs = host.quarantinedUntilMs() - row.startedMs();
        return pauseMs == PROBE_LIMIT_MS || pauseMs == THROTTLE_MS;
    }

    /** Returns whether outlier detection lets a host that is in service run this request now. */
    static boolean allowsStart(Tick tick, HostRow host, RequestRow row) {
        long sincePauseMs = tick.nowMs() - host.quarantinedUntilMs();
        if (sincePauseMs < 0) {
            return false;
        }
        return host.consecutiveFaults() < FAULTS_TO_QUARANTINE
                || row.arrival().idempotent()
                || sincePauseMs >= ANY_PROBE_AFTER_MS;
    }

    /** Records a start; on a host that is due for a probe, it holds back further requests. */
    static void recordStart(Tick tick, HostRow host) {
        if (host.consecutiveFaults() >= FAULTS_TO_QUARANTINE) {
            tick.count("outlier.probe");
            int pauseMs = budgetAllows(tick, host) ? PROBE_LIMIT_MS : THROTTLE_MS;
            pause(tick, host, host.consecutiveFaults(), pauseMs);
        }
    }
}
