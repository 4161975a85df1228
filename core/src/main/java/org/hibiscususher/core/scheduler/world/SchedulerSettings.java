package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Who the process is, and its times.
 *
 * @param node name of the entry
 * @param incarnation start of the process, in milliseconds since the epoch
 * @param address where it takes forwarded requests
 * @param seeds where some other entries take forwarded requests
 * @param claimDelayMs how long it waits before it takes a free ownership, in milliseconds
 * @param timing times
 */
public record SchedulerSettings(
        String node,
        long incarnation,
        String address,
        List<String> seeds,
        long claimDelayMs,
        SchedulerTiming timing) {
    /** Checks the parts. */
    public SchedulerSettings {
        requireNonNull(node);
        requireNonNull(address);
        seeds = List.copyOf(seeds);
        requireNonNull(timing);
    }
}
