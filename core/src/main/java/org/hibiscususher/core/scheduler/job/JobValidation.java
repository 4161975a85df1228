package org.hibiscususher.core.scheduler.job;

import java.util.Optional;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/** Checks submitted jobs for faults that no retry can mend. */
final class JobValidation {
    private static final int ID_LENGTH = 16;
    private static final int MAX_PAYLOAD_CHARS = 4_000;

    private JobValidation() {}

    /**
     * Returns why a job is invalid, as a refusal reason, or empty if it is valid.
     *
     * @param id the job's id, as it stands in the path of the request
     */
    static Optional<String> findProblem(
            SchedulerWorld world, JobQueue queue, JobSpec spec, String id) {
        if (id.length() != ID_LENGTH || !id.chars().allMatch(JobValidation::isHexDigit)) {
            return Optional.of("id-is-not-16-hex-digits");
        }
        if (spec.payload().length() > MAX_PAYLOAD_CHARS) {
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
