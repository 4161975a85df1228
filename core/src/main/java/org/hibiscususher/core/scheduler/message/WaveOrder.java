package org.hibiscususher.core.scheduler.message;

import java.util.List;

/**
 * An operator's order for a maintenance wave.
 *
 * @param wave number of the wave
 * @param hosts ids of the hosts to be maintained
 * @param timeLimitMs time within which the wave should be completed, in milliseconds
 * @param maxConcurrentHosts how many of its hosts may be out of service at a time
 */
public record WaveOrder(long wave, List<String> hosts, long timeLimitMs, int maxConcurrentHosts) {
    /** Copies the list. */
    public WaveOrder {
        hosts = List.copyOf(hosts);
    }
}
