package org.hibiscususher.standin.scheduler;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobPool;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.job.Resources;

/** The operators' configuration of a simulated site: one queue, one pool and its teams. */
final class VirtualConfiguration {
    private final Resources mTeamLimit;
    private final List<JobTeam> mOtherTeams = new ArrayList<>();
    private long mVersion = 1;

    VirtualConfiguration(Resources teamLimit) {
        mTeamLimit = requireNonNull(teamLimit);
    }

    /** Replaces the queue by one with another name and the same host and prefix. */
    void replaceQueue() {
        mVersion++;
    }

    /** Adds a team without a limit. */
    void addTeam(String name) {
        Set<String> keys = Set.of(VirtualCallers.keyOf(name));
        mOtherTeams.add(new JobTeam(name, 1, Resources.of(0, 0, 0), keys));
        mVersion++;
    }

    /** Returns the configuration in force. */
    JobConfiguration current() {
        JobPolicy policy =
                new JobPolicy(
                        "queue" + mVersion,
                        SchedulerSite.POOL,
                        0,
                        VirtualCallers.MAX_FAILURES,
                        2,
                        500,
                        false);
        JobTeam team = new JobTeam(VirtualCallers.TEAM, 1, mTeamLimit, Set.of(VirtualCallers.KEY));
        List<JobTeam> teams = new ArrayList<>(mOtherTeams);
        teams.add(team);
        return new JobConfiguration(
                mVersion,
                List.of(new JobQueue(VirtualCallers.HOST, VirtualCallers.PREFIX, false, policy)),
                List.of(new JobPool(SchedulerSite.POOL, true, false)),
                teams);
    }
}
