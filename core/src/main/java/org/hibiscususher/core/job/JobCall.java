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
 * @param spec the job, for {@link CallKind#SUBMIT}
 */
public record JobCall(CallKind kind, String host, String path, String key, Optional<JobSpec> spec) {
    /** Checks the parts. */
    public JobCall {
        requireNonNull(kind);
        requireNonNull(host);
        requireNonNull(path);
        requireNonNull(key);
        requireNonNull(spec);
    }

    @Override
    public String toString() {
        return "JobCall[" + kind + " " + host + path + "]";
    }
}
