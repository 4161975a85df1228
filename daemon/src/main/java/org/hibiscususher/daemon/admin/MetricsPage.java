package org.hibiscususher.daemon.admin;

import com.codahale.metrics.MetricRegistry;

/**
 * Formats metrics as text, one sample {@code name value} a line.
 *
 * <p>Names start with {@code hibiscususher_}; dots and hyphens become underscores.
 */
public final class MetricsPage {
    private static final double[] QUANTILES = {0.5, 0.95, 0.99, 1};

    private MetricsPage() {}

    /** Returns all counters, and the count and quantiles of each histogram. */
    public static String of(MetricRegistry metrics) {
        StringBuilder page = new StringBuilder();
        metrics.getCounters()
                .forEach((name, counter) -> appendSample(page, name, "", counter.getCount()));
        metrics.getHistograms()
                .forEach(
                        (name, histogram) -> {
                            appendSample(page, name, "_count", histogram.getCount());
                            for (double q : QUANTILES) {
                                String label = "{quantile=\"" + q + "\"}";
                                appendSample(
                                        page,
                                        name,
                                        label,
                                        (long) histogram.getSnapshot().getValue(q));
                            }
                        });
        return page.toString();
    }

    private static void appendSample(StringBuilder page, String name, String suffix, long value) {
        page.append("hibiscususher_")
                .append(name.replace('.', '_').replace('-', '_'))
                .append(suffix)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
