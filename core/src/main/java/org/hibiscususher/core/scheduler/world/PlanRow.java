package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.JobPlan;

/**
 * The configuration in force.
 *
 * @param plan configuration; without a version until one was read
 * @param revision its revision in the store
 */
public record PlanRow(JobPlan plan, long revision) {
    /** Checks the parts. */
    public PlanRow {
        requireNonNull(plan);
    }
}
