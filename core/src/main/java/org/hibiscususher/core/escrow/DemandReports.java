package org.hibiscususher.core.escrow;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.message.PeerItem.Demand;
import org.hibiscususher.core.message.PeerItem.PoolEntitlements;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKind;
import org.hibiscususher.core.message.TeamDemand;
import org.hibiscususher.core.world.AllocatorBindingRow;
import org.hibiscususher.core.world.AllocatorTermRow;
import org.hibiscususher.core.world.DemandReportRow;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.MemberDemandRow;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.PoolEntitlementsRow;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.core.world.SchedulingClass;
import org.hibiscususher.core.world.World;

/**
 * The demand that members report to allocators, and the entitlements that allocators report back.
 *
 * <p>Reports may be lost, so they are repeated while there is demand, and expire when they are not:
 * the demand of an entry that has ended must not hold back permits from the others.
 */
final class DemandReports {
    /** Units that a team may request beyond the slots that its waiting requests could use soon. */
    private static final int UNITS_AHEAD = 2;

    private DemandReports() {}

    /** Returns the key of a member's rows for a group. */
    static MemberDemandRow.Key keyOf(PermitGroup group, MemberKey member) {
        return new MemberDemandRow.Key(group, member);
    }

    /**
     * Stores the demand of a member for a group that this entry allocates, and makes the group due
     * if it has changed. Ignored if a later message has brought demand already.
     */
    static void applyDemand(MessageExchange exchange, ReceivedItem received, Demand demand) {
        World world = exchange.world();
        Optional<AllocatorTermRow> term = world.allocatorTerms().find(demand.group());
        if (term.isEmpty()) {
            return;
        }
        MemberDemandRow.Key key = keyOf(demand.group(), received.from());
        Optional<MemberDemandRow> previous = world.memberDemands().find(key);
        if (previous.isPresent() && previous.get().sequence() > received.sequence()) {
            return;
        }
        world.memberDemands()
                .put(
                        key,
                        new MemberDemandRow(
                                key, received.sequence(), exchange.nowMs(), demand.teams()));
        boolean changed = previous.isEmpty() || !previous.get().teams().equals(demand.teams());
        if (changed) {
            world.allocatorTerms().put(demand.group(), term.get().withDueBy(exchange.nowMs()));
        }
    }

    /**
     * Stores the teams' entitlements to slots of a pool at this entry. Ignored if they are not from
     * the pool's present allocator, or if a later message has brought some already.
     */
    static void applyEntitlements(
            MessageExchange exchange, ReceivedItem received, PoolEntitlements entitlements) {
        World world = exchange.world();
        PermitGroup group = PermitGroup.pool(entitlements.pool());
        boolean fromAllocator =
                world.allocatorBindings()
                        .find(group)
                        .map(a -> a.allocator().equals(received.from()))
                        .orElse(false);
        long lastSequence =
                world.poolEntitlements()
                        .find(entitlements.pool())
                        .map(PoolEntitlementsRow::sequence)
                        .orElse(0L);
        if (fromAllocator && lastSequence <= received.sequence()) {
            world.poolEntitlements()
                    .put(
                            entitlements.pool(),
                            new PoolEntitlementsRow(
                                    entitlements.pool(),
                                    received.sequence(),
                                    exchange.nowMs(),
                                    entitlements.teams()));
        }
    }

    /**
     * Reports this entry's demand to the allocators of the groups where it has changed or where the
     * last report is to be repeated.
     */
    static void reportChanges(MessageExchange exchange) {
        World world = exchange.world();
        Map<PermitGroup, List<TeamDemand>> demands = localDemand(world);
        for (DemandReportRow report : world.demandReports().rows()) {
            demands.putIfAbsent(report.group(), List.of());
        }
        demands.forEach((group, teams) -> report(exchange, group, teams));
    }

    private static void report(
            MessageExchange exchange, PermitGroup group, List<TeamDemand> teams) {
        World world = exchange.world();
        Optional<AllocatorBindingRow> binding = world.allocatorBindings().find(group);
        if (binding.isEmpty()) {
            return;
        }
        MemberKey allocator = binding.get().allocator();
        Optional<DemandReportRow> previous = world.demandReports().find(group);
        if (!isReportDue(exchange, previous, teams)) {
            return;
        }
        if (teams.isEmpty()) {
            world.demandReports().remove(group);
        } else {
            world.demandReports()
                    .put(group, new DemandReportRow(group, allocator, exchange.nowMs(), teams));
        }
        exchange.send(allocator, new Demand(group, teams));
    }

    /**
     * Returns whether demand is to be reported. The first waiting request is reported at once, as
     * it may need a permit that another entry holds.
     *
     * @param previous the last report to the present allocator, empty if there is none
     * @param teams the present demand
     */
    private static boolean isReportDue(
            MessageExchange exchange, Optional<DemandReportRow> previous, List<TeamDemand> teams) {
        if (previous.isEmpty()) {
            return !teams.isEmpty();
        }
        long ageMs = exchange.nowMs() - previous.get().sentMs();
        if (previous.get().teams().equals(teams)) {
            return ageMs >= EscrowTiming.REFRESH_INTERVAL_MS;
        }
        return ageMs >= EscrowTiming.REPORT_INTERVAL_MS
                || hasWaiting(teams) && !hasWaiting(previous.get().teams());
    }

    private static boolean hasWaiting(List<TeamDemand> teams) {
        return teams.stream().anyMatch(t -> t.quickWaiting() + t.longWaiting() > 0);
    }

    /** Returns the demand of the requests at this entry, for pools and for teams. */
    private static Map<PermitGroup, List<TeamDemand>> localDemand(World world) {
        Map<String, Map<String, TeamDemand>> pools = new LinkedHashMap<>();
        for (SchedulingClass lane : world.requests().groups()) {
            int count = world.requests().group(lane).size();
            pools.computeIfAbsent(lane.pool(), p -> new TreeMap<>())
                    .merge(lane.team(), requestDemand(lane, count), DemandReports::sum);
        }
        Map<PermitGroup, List<TeamDemand>> demands = new LinkedHashMap<>();
        Map<String, TeamDemand> units = new LinkedHashMap<>();
        pools.forEach(
                (pool, teams) -> {
                    demands.put(PermitGroup.pool(pool), List.copyOf(teams.values()));
                    int ahead = idleSlots(world, pool) + UNITS_AHEAD;
                    for (TeamDemand team : teams.values()) {
                        units.merge(team.team(), unitDemand(team, ahead), DemandReports::sum);
                    }
                });
        units.forEach((team, demand) -> demands.put(PermitGroup.team(team), List.of(demand)));
        return demands;
    }

    /** Returns the demand of the given number of requests of one scheduling class. */
    private static TeamDemand requestDemand(SchedulingClass lane, int count) {
        int waiting = lane.state() == RequestState.WAITING ? count : 0;
        int running = count - waiting;
        return lane.kind() == QueueKind.QUICK
                ? new TeamDemand(lane.team(), waiting, running, 0, 0)
                : new TeamDemand(lane.team(), 0, 0, waiting, running);
    }

    /** Returns the sum of two demands of one team. */
    static TeamDemand sum(TeamDemand a, TeamDemand b) {
        return new TeamDemand(
                a.team(),
                a.quickWaiting() + b.quickWaiting(),
                a.quickRunning() + b.quickRunning(),
                a.longWaiting() + b.longWaiting(),
                a.longRunning() + b.longRunning());
    }

    /**
     * Returns the units that a team's requests in a pool can use soon.
     *
     * <p>More would only be kept from other entries: a waiting request needs a slot as well, and
     * gets an idle one or that of a request that finishes.
     *
     * @param ahead how many waiting requests count beyond the number of those running
     */
    private static TeamDemand unitDemand(TeamDemand demand, int ahead) {
        int running = demand.quickRunning() + demand.longRunning();
        int waiting = demand.quickWaiting() + demand.longWaiting();
        return new TeamDemand(demand.team(), Math.min(waiting, running + ahead), running, 0, 0);
    }

    private static int idleSlots(World world, String pool) {
        int idle = 0;
        for (HoldingRow holding : world.holdings().group(PermitGroup.pool(pool))) {
            idle += holding.key().kind() == PermitKind.SLOT ? holding.idle() : 0;
        }
        return idle;
    }

    /** Returns the members' demand for a group, and removes empty and expired rows. */
    static Map<MemberKey, List<TeamDemand>> currentByMember(
            MessageExchange exchange, PermitGroup group) {
        Map<MemberKey, List<TeamDemand>> demands = new LinkedHashMap<>();
        for (MemberDemandRow row : List.copyOf(exchange.world().memberDemands().group(group))) {
            if (row.teams().isEmpty()
                    || exchange.nowMs() - row.receivedMs() >= EscrowTiming.DEMAND_EXPIRY_MS) {
                exchange.world().memberDemands().remove(row.key());
            } else {
                demands.put(row.key().member(), row.teams());
            }
        }
        return demands;
    }
}
