package org.hibiscususher.standin.bench;

import java.util.Locale;

/**
 * What was measured of one contender in one scenario.
 *
 * @param nearMedian slot-seconds got over due, median over teams and seconds with a full pool
 * @param nearWorst the same, of the worst twentieth
 * @param windows how many teams and seconds that was
 * @param waitP50 wait of quick requests for their start, median, in milliseconds
 * @param waitP99 the same, of the worst hundredth
 * @param waitP999 the same, of the worst thousandth
 * @param stranded part of the slots idle while work for them waits
 * @param violations milliseconds in which a team or host was above its limit
 */
record Figures(
        double nearMedian,
        double nearWorst,
        int windows,
        long waitP50,
        long waitP99,
        long waitP999,
        double stranded,
        long violations) {
    static final String CSV_HEAD =
            "site,scenario,contender,seed,near_median,near_worst_twentieth,windows,"
                    + "wait_p50_ms,wait_p99_ms,wait_p999_ms,stranded,violations,messages";

    String text() {
        return String.format(
                Locale.ROOT,
                "%.3f / %.3f  %4d  %5d %5d %5d  %5.1f%%  %3d",
                nearMedian,
                nearWorst,
                windows,
                waitP50,
                waitP99,
                waitP999,
                stranded * 100,
                violations);
    }

    String csv() {
        return String.format(
                Locale.ROOT,
                "%.4f,%.4f,%d,%d,%d,%d,%.4f,%d",
                nearMedian,
                nearWorst,
                windows,
                waitP50,
                waitP99,
                waitP999,
                stranded,
                violations);
    }
}
