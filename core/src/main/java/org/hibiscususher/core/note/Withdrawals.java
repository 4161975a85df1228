package org.hibiscususher.core.note;

import java.util.List;

/**
 * Ids that the section "withdrawn" of a release note lists.
 *
 * @param pools ids of pools
 * @param hosts ids of hosts
 * @param teams ids of teams
 * @param keys ids of keys
 * @param queues ids of queues
 */
public record Withdrawals(
        List<Located<String>> pools,
        List<Located<String>> hosts,
        List<Located<String>> teams,
        List<Located<String>> keys,
        List<Located<String>> queues) {
    /** No withdrawals. */
    public static final Withdrawals NONE =
            new Withdrawals(List.of(), List.of(), List.of(), List.of(), List.of());

    /** Copies the lists. */
    public Withdrawals {
        pools = List.copyOf(pools);
        hosts = List.copyOf(hosts);
        teams = List.copyOf(teams);
        keys = List.copyOf(keys);
        queues = List.copyOf(queues);
    }
}
