package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * Where a caller submitted a job. The name of the queue that the address selects may differ between
 * configurations; the address stays.
 *
 * @param hostName host name to which the submission was addressed; empty if unknown
 * @param path path of the submission, which ends with the job's id; empty if unknown
 */
public record JobAddress(String hostName, String path) {
    /** The address of a job whose record was stored by a version that did not keep it. */
    public static final JobAddress UNKNOWN = new JobAddress("", "");

    /** Rejects null components. */
    public JobAddress {
        requireNonNull(hostName);
        requireNonNull(path);
    }
}
