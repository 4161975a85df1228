package org.hibiscususher.core.escrow;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.message.GroupKind;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.TeamDemand;
import org.hibiscususher.core.message.TeamEntitlement;
import org.hibiscususher.core.world.MemberKey;

/**
 * How many permits of one group each member and each team is entitled to.
 *
 * <p>Entitlements are fractions of permits; {@link PermitBalancer} turns them into whole targets.
 */
final class Entitlements {
    /** Thousandths of a slot, in which teams' entitlements are sent, per slot. */
    private static final double MILLI = 1_000;

    private final Map<MemberKey, Double> mMain = new LinkedHashMap<>();
    private final Map<MemberKey, Double> mLongRuns = new LinkedHashMap<>();
    private final Map<MemberKey, List<TeamEntitlement>> mTeams = new LinkedHashMap<>();

    private Entitlements() {}

    /**
     * Returns a member's entitlement to slots of the pool or units of the team, 0 without demand.
     */
    double main(MemberKey member) {
        return mMain.getOrDefault(member, 0.0);
    }

    /** Returns the teams' entitlements at a member; teams without demand there are left out. */
    List<TeamEntitlement> teams(MemberKey member) {
        return mTeams.getOrDefault(member, List.of());
    }

    /** Returns a member's entitlement to permits for long runs, 0 without demand. */
    double longRuns(MemberKey member) {
        return mLongRuns.getOrDefault(member, 0.0);
    }

    /**
     * Computes the entitlements by weighted max-min fairness among the teams.
     *
     * <p>The weight of a team is its share. Its entitlement is divided among the members in
     * proportion to its demand at each. A team missing from the configuration is entitled to no
     * slots or units.
     *
     * @param group the pool or team whose permits are shared
     * @param demands demand by member
     * @param configuration gives the teams' shares and upper limits
     * @param main how many slots or units there are to share
     * @param longRuns how many permits for long runs there are to share; unused for a team's group
     */
    static Entitlements of(
            PermitGroup group,
            Map<MemberKey, List<TeamDemand>> demands,
            Configuration configuration,
            int main,
            int longRuns) {
        Map<String, TeamDemand> totals = new TreeMap<>();
        for (List<TeamDemand> teams : demands.values()) {
            teams.forEach(t -> totals.merge(t.team(), t, DemandReports::sum));
        }
        List<TeamDemand> teams = new ArrayList<>(totals.values());
        double[] weights = new double[teams.size()];
        double[] quick = new double[teams.size()];
        double[] longDemand = new double[teams.size()];
        double[] limits = new double[teams.size()];
        for (int i = 0; i < weights.length; i++) {
            TeamSpec spec = configuration.teams().get(teams.get(i).team());
            weights[i] = spec == null ? 1 : spec.share();
            limits[i] = spec == null ? 0 : spec.upperLimit();
            quick[i] = teams.get(i).quick();
            longDemand[i] = teams.get(i).longRuns();
        }
        double[] longEntitled =
                group.kind() == GroupKind.POOL
                        ? MaxMinFairness.allocate(longDemand, weights, longRuns)
                        : longDemand;
        double[] wanted = new double[weights.length];
        for (int i = 0; i < wanted.length; i++) {
            wanted[i] = Math.min(limits[i], quick[i] + longEntitled[i]);
        }
        double[] entitled = MaxMinFairness.allocate(wanted, weights, main);
        Entitlements entitlements = new Entitlements();
        for (int i = 0; i < entitled.length; i++) {
            entitlements.spread(demands, teams.get(i), entitled[i], longEntitled[i]);
        }
        return entitlements;
    }

    /**
     * Divides the entitlement of a team among the members in proportion to its demand at each.
     *
     * @param total the team's demand at all members
     * @param entitled the team's slots or units
     * @param longEntitled the team's permits for long runs
     */
    private void spread(
            Map<MemberKey, List<TeamDemand>> demands,
            TeamDemand total,
            double entitled,
            double longEntitled) {
        double longFraction = total.longRuns() == 0 ? 0 : longEntitled / total.longRuns();
        double wanted = total.quick() + longEntitled;
        demands.forEach(
                (member, teams) -> {
                    for (TeamDemand team : teams) {
                        if (team.team().equals(total.team()) && wanted > 0) {
                            double longRuns = team.longRuns() * longFraction;
                            double part = (team.quick() + longRuns) / wanted;
                            mMain.merge(member, entitled * part, Double::sum);
                            mTeams.computeIfAbsent(member, m -> new ArrayList<>())
                                    .add(
                                            new TeamEntitlement(
                                                    team.team(), (int) (entitled * part * MILLI)));
                            mLongRuns.merge(member, longRuns, Double::sum);
                        }
                    }
                });
    }
}
