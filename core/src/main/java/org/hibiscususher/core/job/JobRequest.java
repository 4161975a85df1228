package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * A caller's request about jobs.
 *
 * @param kind what is wanted
 * @param hostName host name that the request was sent to
 * @param path path: a queue's prefix and a job's id
 * @param apiKey secret that came along; empty for none
 * @param spec the job, for {@link JobRequestKind#SUBMIT}
 * @param hops how many entries have passed the request on
 */
public record JobRequest(
        JobRequestKind kind,
        String hostName,
        String path,
        String apiKey,
        Optional<JobSpec> spec,
        int hops) {
    /** Checks the parts. */
    public JobRequest {
        requireNonNull(kind);
        requireNonNull(hostName);
        requireNonNull(path);
        requireNonNull(apiKey);
        requireNonNull(spec);
    }

    /** Returns a request as its caller sent it. */
    public static JobRequest of(
            JobRequestKind kind,
            String hostName,
            String path,
            String apiKey,
            Optional<JobSpec> spec) {
        return new JobRequest(kind, hostName, path, apiKey, spec, 0);
    }

    /** Returns this request, passed on once more. */
    public JobRequest forwarded() {
        return new JobRequest(kind, hostName, path, apiKey, spec, hops + 1);
    }

    @Override
    public String toString() {
        return "JobRequest[" + kind + " " + hostName + path + "]";
    }
}
