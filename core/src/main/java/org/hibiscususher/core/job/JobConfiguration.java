package org.hibiscususher.core.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The operators' configuration of queues, pools and teams.
 *
 * @param version number that operators raise with each change; 0 if there is no configuration
 * @param queues queues to which callers submit jobs
 * @param pools pools of executors that run their tasks
 * @param teams customers, with their API keys and limits
 */
public record JobConfiguration(
        long version, List<JobQueue> queues, List<JobPool> pools, List<JobTeam> teams) {
    /** An empty configuration, in force until one is read. */
    public static final JobConfiguration EMPTY =
            new JobConfiguration(0, List.of(), List.of(), List.of());

    /** Copies the lists. */
    public JobConfiguration {
        queues = List.copyOf(queues);
        pools = List.copyOf(pools);
        teams = List.copyOf(teams);
    }

    /**
     * Returns the queue of a request: the one with the longest matching path prefix under the host
     * name, or empty if none matches.
     */
    public Optional<JobQueue> route(String host, String path) {
        JobQueue best = null;
        for (JobQueue queue : queues) {
            if (queue.matches(host, path)
                    && (best == null || queue.pathPrefix().length() > best.pathPrefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether a queue is the one that a job belongs to now: the queue that the job's
     * address selects or, if there is none, the queue that has the name of the job's.
     *
     * @param address where the job was submitted
     * @param name name of its queue when it was accepted
     */
    public boolean isQueueOf(JobQueue queue, JobAddress address, String name) {
        boolean candidate =
                queue.matches(address.hostName(), address.path()) || queue.name().equals(name);
        return candidate
                && route(address.hostName(), address.path()).map(queue::equals).orElse(true);
    }

    /** Returns the team that an API key belongs to, or empty. */
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
        Map<String, JobTeam> byName = new HashMap<>();
        for (JobTeam team : teams) {
            byName.put(team.name(), team);
        }
        return byName;
    }
}
