package org.hibiscususher.daemon.admin;

import com.codahale.metrics.MetricRegistry;

/** Writes metrics as text, one {@code name value} a line. */
public final class MetricsPage {
    private static final double[] QUANTILES = {0.5, 0.95, 0.99, 1};

    private MetricsPage() {}

    /** Returns the counters, and the counts and quantiles of the histograms. */
    public static String of(MetricRegistry metrics) {
        StringBuilder page = new StringBuilder();
        metrics.getCounters().forEach((name, counter) -> add(page, name, "", counter.getCount()));
        metrics.getHistograms()
                .forEach(
                        (name, histogram) -> {
                            add(page, name, "_count", histogram.getCount());
                            for (double q : QUANTILES) {
                                String label = "{quantile=\"" + q + "\"}";
                                add(page, name, label, (long) histogram.getSnapshot().getValue(q));
                            }
                        });
        return page.toString();
    }

    private static void add(StringBuilder page, String name, String suffix, long value) {
        page.append("hibiscususher_")
                .append(name.replace('.', '_').replace('-', '_'))
                .append(suffix)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
