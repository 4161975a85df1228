package org.hibiscususher.standin.bench;

import java.util.Random;

/** How sizes and declared estimates of jobs relate. */
enum PolicySite {
    /** Estimates within a tenth; sizes of a kind vary by a factor of four. */
    ACCURATE(1, 1.1, 4),
    /** Estimates off by the same factor of up to four for all jobs of a kind. */
    BIASED(4, 1.1, 4),
    /** Estimates off by up to four for each job by chance; all jobs of a kind take alike. */
    RANDOM(1, 4, 1),
    /** Estimates off by up to four for each kind and twice for each job; sizes vary as much. */
    MIXED(4, 2, 2);

    /** Number of kinds, of sizes from 100 ms to 3 s. */
    static final int KINDS = 12;

    private static final double MIN_SIZE_MS = 100;
    private static final double SIZE_RANGE = 30;

    private final double mKindError;
    private final double mJobError;
    private final double mSizeSpread;

    PolicySite(double kindError, double jobError, double sizeSpread) {
        mKindError = kindError;
        mJobError = jobError;
        mSizeSpread = sizeSpread;
    }

    /** Returns the usual duration of the tasks of a new job. */
    double sizeMs(int kind, Random random) {
        double usualMs = MIN_SIZE_MS * Math.pow(SIZE_RANGE, kind / (KINDS - 1.0));
        return usualMs * Math.pow(mSizeSpread, random.nextDouble() - 0.5);
    }

    /** Returns the estimate that a new job declares. */
    double declaredMs(int kind, double sizeMs, Random random) {
        // Kinds are too low and too high by turns, so that no order of sizes is kept.
        double kindError = Math.pow(mKindError, kind % 2 == 0 ? 1 : -1);
        double jobError = Math.pow(mJobError, 2 * random.nextDouble() - 1);
        return Math.max(1, sizeMs * kindError * jobError);
    }
}
