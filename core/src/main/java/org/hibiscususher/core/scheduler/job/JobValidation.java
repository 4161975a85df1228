package org.hibiscususher.core.scheduler.job;

import java.util.Optional;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/** Decides whether a job can be taken at all. */
final class JobValidation {
    private static final int ID_LENGTH = 16;
    private static final int MAX_TEXT_BYTES = 4_000;

    private JobValidation() {}

    /** Returns why a job can never run, or empty. */
    static Optional<String> findProblem(
            SchedulerWorld world, JobQueue queue, JobSpec spec, String id) {
        if (id.length() != ID_LENGTH || !id.chars().allMatch(JobValidation::isHexDigit)) {
            return Optional.of("id-is-not-16-hex-digits");
        }
        if (spec.payload().length() > MAX_TEXT_BYTES) {
            return Optional.of("text-too-long");
        }
        if (!spec.validationError().isEmpty()) {
            return Optional.of("malformed-steps");
        }
        return Optional.empty();
    }

    private static boolean isHexDigit(int c) {
        return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F';
    }
}
