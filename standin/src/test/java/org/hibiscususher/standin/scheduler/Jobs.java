package org.hibiscususher.standin.scheduler;

import java.util.List;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;

/** Jobs for tests. */
final class Jobs {
    static final Resources CORE = Resources.of(1_000, 100, 0);

    private Jobs() {}

    /** Returns a job of one step. */
    static JobSpec oneStep(int tasks, long taskMs) {
        return JobSpec.once("run", List.of(StepSpec.of(tasks, CORE, taskMs, List.of())));
    }

    /** Returns a job of two steps, one after the other. */
    static JobSpec twoSteps(int tasks, long taskMs) {
        return JobSpec.once(
                "run",
                List.of(
                        StepSpec.of(tasks, CORE, taskMs, List.of()),
                        StepSpec.of(tasks, CORE, taskMs, List.of(0))));
    }

    /** Returns a job whose tasks run until it is cancelled. */
    static JobSpec lasting(int tasks) {
        StepSpec step =
                new StepSpec(
                        tasks, CORE, 0, List.of(), false, false, false, "", "", 1, false, true,
                        "image", 0, false, 1);
        return JobSpec.once("run", List.of(step));
    }
}
