package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * A step of a job: a number of equal tasks.
 *
 * @param count number of tasks
 * @param demand what each task takes
 * @param estimateMs rough time that a task takes, in milliseconds; 0 if unknown
 * @param dependsOn numbers of the steps that have to be done first
 * @param savesCheckpoints whether tasks save their progress
 * @param gang whether tasks work only together
 * @param sameRack whether tasks are slower on more than one rack
 * @param requiredLabel label that an executor must have; empty for none
 * @param dataRack rack on which tasks are faster; empty for none
 * @param maxPerExecutor most tasks of the step on one executor; 0 for no limit
 * @param speculative whether copies of a task may run in parallel
 * @param service whether tasks run until the job is cancelled
 * @param image what the tasks run; tasks of one image behave alike
 * @param latencyGoalMs limit of the tail latency of tasks that serve, in milliseconds; 0 for none
 * @param bestEffortCpu whether tasks take only processor time that others leave
 * @param maxUnavailable most tasks away at a time because of us; 0 if not limited
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
    /** Checks and copies the parts. */
    public StepSpec {
        requireNonNull(demand);
        requireNonNull(requiredLabel);
        requireNonNull(dataRack);
        requireNonNull(image);
        dependsOn = List.copyOf(dependsOn);
    }

    /** Returns a step of ordinary tasks that may run anywhere. */
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

    /** Returns what a task takes of an executor's capacity. */
    public Resources reserved() {
        return bestEffortCpu ? demand.withoutCpu() : demand;
    }

    /** Returns the work of the whole step in core-milliseconds, by its estimate. */
    public long workCoreMs() {
        return service ? 0 : count * Math.max(1, demand.cpuMillis()) * estimateMs / 1_000;
    }
}
