package org.hibiscususher.core.scheduler.job;

import java.util.Optional;
import org.hibiscususher.core.job.JobId;
import org.hibiscususher.core.job.JobSpec;

/** Checks submitted jobs for faults that no retry can mend. */
final class JobValidation {
    private static final int MAX_PAYLOAD_CHARS = 4_000;

    private JobValidation() {}

    /**
     * Returns why a job is invalid, as a refusal reason, or empty if it is valid.
     *
     * @param id the job's id, as it stands in the path of the request
     */
    static Optional<String> findProblem(JobSpec spec, String id) {
        if (!JobId.isValid(id)) {
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
}
