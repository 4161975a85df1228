package org.hibiscususher.standin.target;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts how many times each named request ran, so that a test can detect duplicate runs. Confined
 * to the server's event loop thread.
 */
final class RunCounter {
    private final Map<String, Integer> mRuns = new TreeMap<>();

    void increment(String name) {
        mRuns.merge(name, 1, Integer::sum);
    }

    /**
     * Returns one line for each request name, in order of name: the name, a space and the count.
     */
    String toText() {
        StringBuilder text = new StringBuilder();
        mRuns.forEach((name, count) -> text.append(name).append(' ').append(count).append('\n'));
        return text.toString();
    }
}
