package org.hibiscususher.daemon.admin;

import com.codahale.metrics.MetricRegistry;

/** Writes metrics as text, one {@code name value} a line. */
final class MetricsPage {
    private MetricsPage() {}

    static String of(MetricRegistry metrics) {
        StringBuilder page = new StringBuilder();
        metrics.getCounters()
                .forEach(
                        (name, counter) ->
                                page.append("hibiscususher_")
                                        .append(name.replace('.', '_').replace('-', '_'))
                                        .append(' ')
                                        .append(counter.getCount())
                                        .append('\n'));
        return page.toString();
    }
}
