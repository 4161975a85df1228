package org.hibiscususher.core.job;

import java.util.Optional;

/** The ids of jobs, which callers choose: 16 hexadecimal digits. */
public final class JobId {
    private static final int LENGTH = 16;

    private JobId() {}

    /** Returns whether a text is a job id. */
    public static boolean isValid(String text) {
        return text.length() == LENGTH && text.chars().allMatch(JobId::isHexDigit);
    }

    /**
     * Returns the job id at the end of a path, or empty if the path ends otherwise.
     *
     * <p>It doesn't depend on the queue that the path selects: a later configuration may have one
     * with a longer or shorter prefix.
     */
    public static Optional<String> atEndOf(String path) {
        String end = path.substring(Math.max(0, path.length() - LENGTH));
        return Optional.of(end).filter(JobId::isValid);
    }

    private static boolean isHexDigit(int c) {
        return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F';
    }
}
