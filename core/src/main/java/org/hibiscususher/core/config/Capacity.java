package org.hibiscususher.core.config;

/**
 * An amount of a host's resources: what a host has, or what a request declares to need.
 *
 * @param cores processor cores, 0 or more
 * @param memoryGb memory in gigabytes, 0 or more
 * @param accelerators accelerators, 0 or more
 */
public record Capacity(int cores, int memoryGb, int accelerators) {
    /** Nothing declared. */
    public static final Capacity NONE = new Capacity(0, 0, 0);

    /** Checks that no amount is negative. */
    public Capacity {
        if (cores < 0 || memoryGb < 0 || accelerators < 0) {
            throw new IllegalArgumentException("negative capacity");
        }
    }

    /** Returns whether a host with this capacity can run something that needs the given one. */
    public boolean fits(Capacity needs) {
        return needs.cores <= cores
                && needs.memoryGb <= memoryGb
                && needs.accelerators <= accelerators;
    }
}
