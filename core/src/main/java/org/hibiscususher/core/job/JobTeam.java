package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

import java.util.Set;

/**
 * A team that hands in jobs.
 *
 * @param name name
 * @param weight share when all is full
 * @param limit most that may run at a time; parts of 0 are not limited
 * @param apiKeys secrets that callers show
 */
public record JobTeam(String name, long weight, Resources limit, Set<String> apiKeys) {
    /** The name under which jobs of open queues run that came without a key. */
    public static final String ANONYMOUS = "";

    /** Copies the keys. */
    public JobTeam {
        requireNonNull(name);
        requireNonNull(limit);
        apiKeys = Set.copyOf(apiKeys);
    }

    @Override
    public String toString() {
        return "JobTeam[" + name + "]";
    }
}
