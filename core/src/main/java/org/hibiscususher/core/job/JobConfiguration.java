package org.hibiscususher.core.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The operators' configuration of queues, pools and teams.
 *
 * @param version the operators' number of the configuration; grows
 * @param queues queues
 * @param pools pools
 * @param teams teams
 */
public record JobConfiguration(
        long version, List<JobQueue> queues, List<JobPool> pools, List<JobTeam> teams) {
    /** A plan without anything. */
    public static final JobConfiguration EMPTY =
            new JobConfiguration(0, List.of(), List.of(), List.of());

    /** Copies the lists. */
    public JobConfiguration {
        queues = List.copyOf(queues);
        pools = List.copyOf(pools);
        teams = List.copyOf(teams);
    }

    /** Returns the queue with the longest prefix that a request's path begins with, or empty. */
    public Optional<JobQueue> route(String host, String path) {
        JobQueue best = null;
        for (JobQueue queue : queues) {
            if (queue.hostName().equals(host)
                    && path.startsWith(queue.pathPrefix())
                    && (best == null || queue.pathPrefix().length() > best.pathPrefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the team that a key belongs to, or empty. */
    public Optional<JobTeam> teamByApiKey(String key) {
        return teams.stream().filter(t -> t.apiKeys().contains(key)).findFirst();
    }

    /** Returns the team with the given name, or empty. */
    public Optional<JobTeam> team(String name) {
        return teams.stream().filter(t -> t.name().equals(name)).findFirst();
    }

    /** Returns the pool with the given name, or empty. */
    public Optional<JobPool> pool(String name) {
        return pools.stream().filter(p -> p.name().equals(name)).findFirst();
    }

    /** Returns the teams by name. */
    public Map<String, JobTeam> teamsByName() {
        Map<String, JobTeam> found = new HashMap<>();
        for (JobTeam team : teams) {
            found.put(team.name(), team);
        }
        return found;
    }
}
