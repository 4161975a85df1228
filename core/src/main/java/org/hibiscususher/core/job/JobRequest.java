package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * A caller's request about jobs.
 *
 * @param kind kind of request
 * @param hostName host name to which the request was addressed
 * @param path path of the request: the prefix of a queue, followed by a job id or nothing
 * @param apiKey API key of the caller's team; empty for none
 * @param spec the job, for {@link JobRequestKind#SUBMIT}; else empty
 * @param hops number of entries that have forwarded the request, which is limited so that it can't
 *     go round in circles
 */
public record JobRequest(
        JobRequestKind kind,
        String hostName,
        String path,
        String apiKey,
        Optional<JobSpec> spec,
        int hops) {
    /** Rejects null components. */
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

    /** Returns the address to which the request was sent. */
    public JobAddress address() {
        return new JobAddress(hostName, path);
    }

    /** Returns this request as forwarded by another entry. */
    public JobRequest forwarded() {
        return new JobRequest(kind, hostName, path, apiKey, spec, hops + 1);
    }

    @Override
    public String toString() {
        return "JobRequest[" + kind + " " + hostName + path + "]";
    }
}
