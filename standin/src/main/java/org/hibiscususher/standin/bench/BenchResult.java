package org.hibiscususher.standin.bench;

import java.util.Locale;

/**
 * The figures of one allocation method in one scenario.
 *
 * <p>The attainment of a customer is the slot time it used over the slot time it was entitled to,
 * at most 1, in one pool and one window of a second. Only windows in which demand filled the pool
 * count.
 *
 * @param attainmentMedian median attainment over all windows; NaN if there are none
 * @param attainmentP5 5th percentile of the attainment; NaN if there are no windows
 * @param windows number of windows, each counted per customer and pool
 * @param waitP50Ms median wait of quick requests for their start, in milliseconds
 * @param waitP99Ms 99th percentile of that wait, in milliseconds
 * @param waitP999Ms 99.9th percentile of that wait, in milliseconds
 * @param stranded fraction of the slots, 0 to 1, that are idle although a waiting request could use
 *     them, over the time in which such requests wait
 * @param violations milliseconds in which a customer or host had more running than its limit
 */
record BenchResult(
        double attainmentMedian,
        double attainmentP5,
        int windows,
        long waitP50Ms,
        long waitP99Ms,
        long waitP999Ms,
        double stranded,
        long violations) {
    static final String CSV_HEADER =
            "site,scenario,contender,seed,near_median,near_worst_twentieth,windows,"
                    + "wait_p50_ms,wait_p99_ms,wait_p999_ms,stranded,violations,messages";

    /** Returns the columns of the printed table. */
    String text() {
        return String.format(
                Locale.ROOT,
                "%.3f / %.3f  %4d  %5d %5d %5d  %5.1f%%  %3d",
                attainmentMedian,
                attainmentP5,
                windows,
                waitP50Ms,
                waitP99Ms,
                waitP999Ms,
                stranded * 100,
                violations);
    }

    /** Returns the columns of the CSV file. */
    String csv() {
        return String.format(
                Locale.ROOT,
                "%.4f,%.4f,%d,%d,%d,%d,%.4f,%d",
                attainmentMedian,
                attainmentP5,
                windows,
                waitP50Ms,
                waitP99Ms,
                waitP999Ms,
                stranded,
                violations);
    }
}
