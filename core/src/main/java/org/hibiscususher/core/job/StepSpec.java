package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * A step of a job: a number of tasks that are alike.
 *
 * @param count number of tasks
 * @param demand resources of a task
 * @param estimateMs rough duration of a task, in milliseconds; 0 if unknown
 * @param dependsOn numbers of the steps that must be done first
 * @param savesCheckpoints whether tasks save their state, from which another run can continue
 * @param gang whether the tasks can only run all at the same time
 * @param sameRack whether tasks are slower when they are spread over several racks
 * @param requiredLabel label that an executor must have; empty for none
 * @param dataRack label of the rack on which tasks are faster; empty for none
 * @param maxPerExecutor how many tasks of the step one executor may run; 0 for no limit
 * @param speculative whether copies of a task may run in parallel
 * @param service whether tasks run until the job is cancelled
 * @param image software that the tasks run; tasks of the same image behave alike
 * @param latencyGoalMs upper limit of the tail latency of tasks that serve requests, in
 *     milliseconds; 0 for none
 * @param bestEffortCpu whether tasks use only processor time that others leave, and reserve none
 * @param maxUnavailable how many tasks may be unavailable at a time because the scheduler stops
 *     them; 0 for no limit
 */
public record StepSpec(
        int count,
        Resources demand,
        long estimateMs,
        List<Integer> dependsOn,
        boolean savesCheckpoints,
        boolean gang,
        boolean sameRack,
        String requiredLabel,
        String dataRack,
        int maxPerExecutor,
        boolean speculative,
        boolean service,
        String image,
        long latencyGoalMs,
        boolean bestEffortCpu,
        int maxUnavailable) {
    /** Rejects null components and copies the list. */
    public StepSpec {
        requireNonNull(demand);
        requireNonNull(requiredLabel);
        requireNonNull(dataRack);
        requireNonNull(image);
        dependsOn = List.copyOf(dependsOn);
    }

    /** Returns a step of ordinary tasks that may run on any executor. */
    public static StepSpec of(
            int count, Resources demand, long estimateMs, List<Integer> dependsOn) {
        return new StepSpec(
                count,
                demand,
                estimateMs,
                dependsOn,
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0);
    }

    /** Returns the resources that a task reserves on an executor. */
    public Resources reserved() {
        return bestEffortCpu ? demand.withoutCpu() : demand;
    }

    /**
     * Returns the estimated work of the whole step, in core-milliseconds; 0 for a service step,
     * which has no end.
     */
    public long workCoreMs() {
        return workCoreMs(estimateMs);
    }

    /**
     * Returns the work of the whole step, in core-milliseconds, if a task takes the given time; 0
     * for a service step.
     *
     * @param taskMs duration of a task, in milliseconds
     */
    public long workCoreMs(long taskMs) {
        return service ? 0 : count * Math.max(1, demand.cpuMillis()) * taskMs / 1_000;
    }
}
