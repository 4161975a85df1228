package org.hibiscususher.core.scheduler.message;

import java.util.List;

/**
 * An operator's order to maintain hosts.
 *
 * @param wave number of the wave
 * @param hosts the hosts
 * @param timeLimitMs time allowed, in milliseconds
 * @param maxConcurrentHosts most hosts under maintenance at a time
 */
public record WaveOrder(long wave, List<String> hosts, long timeLimitMs, int maxConcurrentHosts) {
    /** Copies the list. */
    public WaveOrder {
        hosts = List.copyOf(hosts);
    }
}
