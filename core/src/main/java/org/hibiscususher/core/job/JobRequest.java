package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * A caller's request about jobs.
 *
 * @param kind what is wanted
 * @param host host name that the request was sent to
 * @param path path: a queue's prefix and a job's id
 * @param key secret that came along; empty for none
 * @param spec the job, for {@link JobRequestKind#SUBMIT}
 * @param hops how many entries have passed the request on
 */
public record JobRequest(
        JobRequestKind kind,
        String host,
        String path,
        String key,
        Optional<JobSpec> spec,
        int hops) {
    /** Checks the parts. */
    public JobRequest {
        requireNonNull(kind);
        requireNonNull(host);
        requireNonNull(path);
        requireNonNull(key);
        requireNonNull(spec);
    }

    /** Returns a request as its caller sent it. */
    public static JobRequest of(
            JobRequestKind kind, String host, String path, String key, Optional<JobSpec> spec) {
        return new JobRequest(kind, host, path, key, spec, 0);
    }

    /** Returns this request, passed on once more. */
    public JobRequest forwarded() {
        return new JobRequest(kind, host, path, key, spec, hops + 1);
    }

    @Override
    public String toString() {
        return "JobRequest[" + kind + " " + host + path + "]";
    }
}
