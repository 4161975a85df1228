package org.hibiscususher.core.scheduler.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskGroup;

/**
 * The teams that use more than their share of a pool at the moment.
 *
 * <p>Answers one team that submits many times its usual: its jobs wait behind those of the other
 * teams, which start as if the surge were not there. A share is a part of what is in use, by the
 * weights of the teams that have work in the pool; what a team leaves unused is lent to the others,
 * and comes back with the next runs that end. Services don't count: they hold capacity for long,
 * and a team's short jobs must not wait for them.
 */
public final class TeamShares {
    /**
     * Factor on its share up to which a team is within it. Teams of like load differ by less, so
     * that the order among their jobs stays as it is.
     */
    private static final double TOLERANCE = 2;

    private final Set<String> mOverShare;

    private TeamShares(Set<String> overShare) {
        mOverShare = Set.copyOf(overShare);
    }

    /** Returns the shares of a pool, going by its runs and waiting tasks. */
    public static TeamShares of(SchedulerWorld world, String pool) {
        Map<String, Long> usedCpuMillis = new HashMap<>();
        for (ExecutorRow executor : world.executors().group(pool)) {
            for (RunRow run : world.runs().group(executor.id())) {
                if (!JobLifecycle.isService(world, run)) {
                    usedCpuMillis.merge(run.team(), run.reserved().cpuMillis(), Long::sum);
                }
            }
        }
        for (TaskGroup group : world.waitingGroups(pool)) {
            world.jobs()
                    .find(group.step().jobId())
                    .ifPresent(job -> usedCpuMillis.putIfAbsent(job.team(), 0L));
        }
        return of(usedCpuMillis, world.configuration().get().configuration().teams());
    }

    /**
     * Returns the shares of teams.
     *
     * @param usedCpuMillis processor capacity in use, in thousandths of a core, of each team that
     *     has work
     * @param teams the teams; one that is not listed has the weight 1
     */
    static TeamShares of(Map<String, Long> usedCpuMillis, List<JobTeam> teams) {
        Map<String, Long> weights = new HashMap<>();
        teams.forEach(team -> weights.put(team.name(), Math.max(1, team.weight())));
        long totalCpuMillis = 0;
        long totalWeight = 0;
        for (Map.Entry<String, Long> team : usedCpuMillis.entrySet()) {
            totalCpuMillis += team.getValue();
            totalWeight += weights.getOrDefault(team.getKey(), 1L);
        }
        Set<String> overShare = new HashSet<>();
        for (Map.Entry<String, Long> team : usedCpuMillis.entrySet()) {
            long weight = weights.getOrDefault(team.getKey(), 1L);
            double share = (double) totalCpuMillis * weight / Math.max(1, totalWeight);
            if (team.getValue() > TOLERANCE * share) {
                overShare.add(team.getKey());
            }
        }
        return new TeamShares(overShare);
    }

    /** Returns whether a team uses more than its share. */
    public boolean isOverShare(String team) {
        return mOverShare.contains(team);
    }
}
