package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

import java.util.Set;

/**
 * A team that submits jobs.
 *
 * @param name team name
 * @param weight share of the resources when demand exceeds them, relative to other teams
 * @param limit most resources that its runs may use at a time; 0 for no limit on a kind of resource
 * @param apiKeys secrets by which its callers identify themselves; not shown in the text form
 */
public record JobTeam(String name, long weight, Resources limit, Set<String> apiKeys) {
    /** The team name of jobs that were submitted without an API key. */
    public static final String ANONYMOUS = "";

    /** Rejects null components and copies the set. */
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
