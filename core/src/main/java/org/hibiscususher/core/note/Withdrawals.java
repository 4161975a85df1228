package org.hibiscususher.core.note;

import java.util.List;

/**
 * Ids of the objects to remove, as the section "withdrawn" of a release note lists them.
 *
 * @param pools ids of the pools to remove
 * @param hosts ids of the hosts to remove
 * @param teams ids of the teams to remove
 * @param keys ids of the API keys to remove
 * @param queues ids of the queues to remove
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
