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
import org.hibiscususher.core.message.TeamDue;
import org.hibiscususher.core.world.MemberKey;

/** Works out how many permits of a group each member is due. */
final class Entitlements {
    private static final double MILLI = 1_000;

    private final Map<MemberKey, Double> mMain = new LinkedHashMap<>();
    private final Map<MemberKey, Double> mLongRuns = new LinkedHashMap<>();
    private final Map<MemberKey, List<TeamDue>> mTeams = new LinkedHashMap<>();

    private Entitlements() {}

    /** Returns the slots or units that a member is due. */
    double main(MemberKey member) {
        return mMain.getOrDefault(member, 0.0);
    }

    /** Returns what the teams are due at a member. */
    List<TeamDue> teams(MemberKey member) {
        return mTeams.getOrDefault(member, List.of());
    }

    /** Returns the permits for long runs that a member is due. */
    double longRuns(MemberKey member) {
        return mLongRuns.getOrDefault(member, 0.0);
    }

    /**
     * Returns what the members are due by weighted max-min fairness over the teams' shares: each
     * team's due goes to the members in proportion to their parts of the team's demand.
     *
     * @param group the group
     * @param demands demand by member
     * @param configuration gives shares and upper limits
     * @param main slots or units that there are
     * @param longRuns permits for long runs that there are
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
        double[] longDues =
                group.kind() == GroupKind.POOL
                        ? MaxMinFairness.allocate(longDemand, weights, longRuns)
                        : longDemand;
        double[] wanted = new double[weights.length];
        for (int i = 0; i < wanted.length; i++) {
            wanted[i] = Math.min(limits[i], quick[i] + longDues[i]);
        }
        double[] dues = MaxMinFairness.allocate(wanted, weights, main);
        Entitlements fairness = new Entitlements();
        for (int i = 0; i < dues.length; i++) {
            fairness.spread(demands, teams.get(i), dues[i], longDues[i]);
        }
        return fairness;
    }

    private void spread(
            Map<MemberKey, List<TeamDemand>> demands,
            TeamDemand total,
            double due,
            double longDue) {
        double longPart = total.longRuns() == 0 ? 0 : longDue / total.longRuns();
        double wanted = total.quick() + longDue;
        demands.forEach(
                (member, teams) -> {
                    for (TeamDemand team : teams) {
                        if (team.team().equals(total.team()) && wanted > 0) {
                            double longRuns = team.longRuns() * longPart;
                            double part = (team.quick() + longRuns) / wanted;
                            mMain.merge(member, due * part, Double::sum);
                            mTeams.computeIfAbsent(member, m -> new ArrayList<>())
                                    .add(new TeamDue(team.team(), (int) (due * part * MILLI)));
                            mLongRuns.merge(member, longRuns, Double::sum);
                        }
                    }
                });
    }
}
