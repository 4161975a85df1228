package org.hibiscususher.core.escrow;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.message.PeerItem.Demand;
import org.hibiscususher.core.message.PeerItem.Dues;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKind;
import org.hibiscususher.core.message.TeamDemand;
import org.hibiscususher.core.world.AttachmentRow;
import org.hibiscususher.core.world.DemandRow;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.PoolDuesRow;
import org.hibiscususher.core.world.ReportRow;
import org.hibiscususher.core.world.RequestLane;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.core.world.TenureRow;
import org.hibiscususher.core.world.World;

/** What entries and allocators tell each other of work waiting and running. */
final class DemandReports {
    /** Units that a team may ask for ahead of the slots that its waiting requests can take. */
    private static final int UNITS_AHEAD = 2;

    private DemandReports() {}

    /** Returns the name of a member's demand for a group. */
    static DemandRow.Key keyOf(PermitGroup group, MemberKey member) {
        return new DemandRow.Key(group, member);
    }

    /** Takes in the demand of a member. */
    static void applyDemand(MessageExchange exchange, ReceivedItem delivery, Demand demand) {
        World world = exchange.world();
        Optional<TenureRow> tenure = world.tenures().find(demand.group());
        if (tenure.isEmpty()) {
            return;
        }
        DemandRow.Key key = keyOf(demand.group(), delivery.from());
        Optional<DemandRow> before = world.demands().find(key);
        if (before.isPresent() && before.get().sequence() > delivery.sequence()) {
            return;
        }
        world.demands()
                .put(
                        key,
                        new DemandRow(key, delivery.sequence(), exchange.nowMs(), demand.teams()));
        boolean changed = before.isEmpty() || !before.get().teams().equals(demand.teams());
        if (changed) {
            world.tenures().put(demand.group(), tenure.get().withDue(exchange.nowMs()));
        }
    }

    /** Takes in what the teams are due of a pool at this entry. */
    static void due(MessageExchange exchange, ReceivedItem delivery, Dues dues) {
        World world = exchange.world();
        PermitGroup group = PermitGroup.pool(dues.pool());
        boolean followed =
                world.attachments()
                        .find(group)
                        .map(a -> a.allocator().equals(delivery.from()))
                        .orElse(false);
        long newest = world.poolDues().find(dues.pool()).map(PoolDuesRow::sequence).orElse(0L);
        if (followed && newest <= delivery.sequence()) {
            world.poolDues()
                    .put(
                            dues.pool(),
                            new PoolDuesRow(
                                    dues.pool(),
                                    delivery.sequence(),
                                    exchange.nowMs(),
                                    dues.teams()));
        }
    }

    /** Reports this entry's demand to the allocators where it has changed, or from time to time. */
    static void reportChanges(MessageExchange exchange) {
        World world = exchange.world();
        Map<PermitGroup, List<TeamDemand>> demands = localDemand(world);
        for (ReportRow report : world.reports().rows()) {
            demands.putIfAbsent(report.group(), List.of());
        }
        demands.forEach((group, teams) -> report(exchange, group, teams));
    }

    private static void report(
            MessageExchange exchange, PermitGroup group, List<TeamDemand> teams) {
        World world = exchange.world();
        Optional<AttachmentRow> attachment = world.attachments().find(group);
        if (attachment.isEmpty()) {
            return;
        }
        MemberKey allocator = attachment.get().allocator();
        Optional<ReportRow> before = world.reports().find(group);
        if (!isReportDue(exchange, before, teams)) {
            return;
        }
        if (teams.isEmpty()) {
            world.reports().remove(group);
        } else {
            world.reports().put(group, new ReportRow(group, allocator, exchange.nowMs(), teams));
        }
        exchange.send(allocator, new Demand(group, teams));
    }

    private static boolean isReportDue(
            MessageExchange exchange, Optional<ReportRow> before, List<TeamDemand> teams) {
        if (before.isEmpty()) {
            return !teams.isEmpty();
        }
        long ageMs = exchange.nowMs() - before.get().atMs();
        if (before.get().teams().equals(teams)) {
            return ageMs >= EscrowTiming.REFRESH_MS;
        }
        return ageMs >= EscrowTiming.REPORT_MS
                || hasWaiting(teams) && !hasWaiting(before.get().teams());
    }

    private static boolean hasWaiting(List<TeamDemand> teams) {
        return teams.stream().anyMatch(t -> t.quickWaiting() + t.longWaiting() > 0);
    }

    private static Map<PermitGroup, List<TeamDemand>> localDemand(World world) {
        Map<String, Map<String, TeamDemand>> pools = new LinkedHashMap<>();
        for (RequestLane lane : world.requests().groups()) {
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

    private static TeamDemand requestDemand(RequestLane lane, int count) {
        int waiting = lane.state() == RequestState.WAITING ? count : 0;
        int running = count - waiting;
        return lane.kind() == QueueKind.QUICK
                ? new TeamDemand(lane.team(), waiting, running, 0, 0)
                : new TeamDemand(lane.team(), 0, 0, waiting, running);
    }

    /** Returns the work of both. */
    static TeamDemand sum(TeamDemand a, TeamDemand b) {
        return new TeamDemand(
                a.team(),
                a.quickWaiting() + b.quickWaiting(),
                a.quickRunning() + b.quickRunning(),
                a.longWaiting() + b.longWaiting(),
                a.longRunning() + b.longRunning());
    }

    /** Returns the units that a team's work in a pool can use before long. */
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

    /** Returns the demand of the members for a group, without what is out of date. */
    static Map<MemberKey, List<TeamDemand>> currentByMember(
            MessageExchange exchange, PermitGroup group) {
        Map<MemberKey, List<TeamDemand>> demands = new LinkedHashMap<>();
        for (DemandRow row : List.copyOf(exchange.world().demands().group(group))) {
            if (row.teams().isEmpty() || exchange.nowMs() - row.atMs() >= EscrowTiming.EXPIRY_MS) {
                exchange.world().demands().remove(row.key());
            } else {
                demands.put(row.key().member(), row.teams());
            }
        }
        return demands;
    }
}
