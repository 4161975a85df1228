package org.hibiscususher.standin.target;

import java.util.Map;
import java.util.TreeMap;

/** Counts the runs of each named request. Belongs to the server's one thread. */
final class RunCounter {
    private final Map<String, Integer> mRuns = new TreeMap<>();

    void increment(String name) {
        mRuns.merge(name, 1, Integer::sum);
    }

    /** Returns a line for each name: the name and how many times it ran. */
    String toText() {
        StringBuilder text = new StringBuilder();
        mRuns.forEach((name, runs) -> text.append(name).append(' ').append(runs).append('\n'));
        return text.toString();
    }
}
