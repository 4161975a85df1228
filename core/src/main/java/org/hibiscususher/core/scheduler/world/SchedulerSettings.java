package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Identity and timing of the process.
 *
 * @param node name of the entry that the process is
 * @param incarnation start time of the process, in milliseconds since the epoch
 * @param address IP number and port at which it accepts forwarded requests
 * @param seeds addresses at which some entries, possibly including this one, accept forwarded
 *     requests
 * @param claimDelayMs how long it waits before it claims an ownership that nobody holds or that is
 *     offered to it, in milliseconds; differs between entries to avoid simultaneous claims
 * @param timing intervals and time limits
 */
public record SchedulerSettings(
        String node,
        long incarnation,
        String address,
        List<String> seeds,
        long claimDelayMs,
        SchedulerTiming timing) {
    /** Rejects null components and copies the list. */
    public SchedulerSettings {
        requireNonNull(node);
        requireNonNull(address);
        seeds = List.copyOf(seeds);
        requireNonNull(timing);
    }
}
