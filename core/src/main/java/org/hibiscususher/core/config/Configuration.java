package org.hibiscususher.core.config;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Everything that the operators have declared, as of one revision. Immutable; maps iterate by id.
 *
 * @param revision number of release notes accepted so far, 0 for the empty configuration
 * @param pools pools by id
 * @param hosts hosts by id
 * @param teams teams by id
 * @param keys access keys by id
 * @param queues queues by id
 */
public record Configuration(
        long revision,
        SortedMap<String, PoolSpec> pools,
        SortedMap<String, HostSpec> hosts,
        SortedMap<String, TeamSpec> teams,
        SortedMap<String, KeySpec> keys,
        SortedMap<String, QueueSpec> queues) {
    /** The configuration before the first release note. */
    public static final Configuration EMPTY =
            new Configuration(
                    0,
                    new TreeMap<>(),
                    new TreeMap<>(),
                    new TreeMap<>(),
                    new TreeMap<>(),
                    new TreeMap<>());

    /** Copies the maps. */
    public Configuration {
        pools = copyOf(pools);
        hosts = copyOf(hosts);
        teams = copyOf(teams);
        keys = copyOf(keys);
        queues = copyOf(queues);
    }

    private static <V> SortedMap<String, V> copyOf(Map<String, V> map) {
        return Collections.unmodifiableSortedMap(new TreeMap<>(map));
    }
}
