package org.hibiscususher.core.config;

/**
 * An amount of a host's resources: what a host has, or what a request declares to need.
 *
 * @param cores processor cores, 0 or more
 * @param memoryGb memory in gigabytes, 0 or more
 * @param accelerators number of accelerators, such as GPUs, 0 or more
 */
public record Capacity(int cores, int memoryGb, int accelerators) {
    /** No resources; also stands for needs that are not declared. */
    public static final Capacity NONE = new Capacity(0, 0, 0);

    /** Checks that no amount is negative. */
    public Capacity {
        if (cores < 0 || memoryGb < 0 || accelerators < 0) {
            throw new IllegalArgumentException("a capacity must not be negative");
        }
    }

    /**
     * Returns whether a host with this capacity has enough of each resource for the given needs.
     */
    public boolean fits(Capacity needs) {
        return needs.cores <= cores
                && needs.memoryGb <= memoryGb
                && needs.accelerators <= accelerators;
    }
}
