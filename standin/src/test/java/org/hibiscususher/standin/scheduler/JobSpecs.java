package org.hibiscususher.standin.scheduler;

import java.util.List;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;

/** Creates job specifications for tests; each task demands {@link #CORE}. */
final class JobSpecs {
    /** Demand of one task: 1 core and a little memory. */
    static final Resources CORE = Resources.of(1_000, 100, 0);

    private JobSpecs() {}

    /**
     * Returns a job of one step.
     *
     * @param taskMs run time of each task, in milliseconds
     */
    static JobSpec oneStep(int tasks, long taskMs) {
        return JobSpec.once("run", List.of(StepSpec.of(tasks, CORE, taskMs, List.of())));
    }

    /**
     * Returns a job of one step of tasks that each demand a hundredth of a core.
     *
     * @param taskMs run time of each task, in milliseconds
     */
    static JobSpec small(int tasks, long taskMs) {
        Resources demand = Resources.of(10, 1, 0);
        return JobSpec.once("run", List.of(StepSpec.of(tasks, demand, taskMs, List.of())));
    }

    /**
     * Returns a job of one step of tasks that each run on another executor and demand a hundredth
     * of a core.
     *
     * @param taskMs run time of each task, in milliseconds
     */
    static JobSpec spread(int tasks, long taskMs) {
        StepSpec step =
                new StepSpec(
                        tasks,
                        Resources.of(10, 1, 0),
                        taskMs,
                        List.of(),
                        false,
                        false,
                        false,
                        "",
                        "",
                        1,
                        false,
                        false,
                        "image",
                        0,
                        false,
                        0);
        return JobSpec.once("run", List.of(step));
    }

    /**
     * Returns a job of two steps, of which the second depends on the first.
     *
     * @param tasks number of tasks in each step
     * @param taskMs run time of each task, in milliseconds
     */
    static JobSpec twoSteps(int tasks, long taskMs) {
        return JobSpec.once(
                "run",
                List.of(
                        StepSpec.of(tasks, CORE, taskMs, List.of()),
                        StepSpec.of(tasks, CORE, taskMs, List.of(0))));
    }

    /** Returns a service job, whose tasks run until it is cancelled. */
    static JobSpec service(int tasks) {
        StepSpec step =
                new StepSpec(
                        tasks, CORE, 0, List.of(), false, false, false, "", "", 1, false, true,
                        "image", 0, false, 1);
        return JobSpec.once("run", List.of(step));
    }
}
