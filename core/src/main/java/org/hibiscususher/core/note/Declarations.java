package org.hibiscususher.core.note;

import java.util.List;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.config.TeamSpec;

/**
 * Complete declarations of objects, as the sections "added" and "changed" of a release note list
 * them.
 *
 * @param pools declared pools, in the order of the note
 * @param hosts declared hosts, in the order of the note
 * @param teams declared teams, in the order of the note
 * @param keys declared API keys, in the order of the note
 * @param queues declared queues, in the order of the note
 */
public record Declarations(
        List<Located<PoolSpec>> pools,
        List<Located<HostSpec>> hosts,
        List<Located<TeamSpec>> teams,
        List<Located<KeySpec>> keys,
        List<Located<QueueSpec>> queues) {
    /** No declarations. */
    public static final Declarations NONE =
            new Declarations(List.of(), List.of(), List.of(), List.of(), List.of());

    /** Copies the lists. */
    public Declarations {
        pools = List.copyOf(pools);
        hosts = List.copyOf(hosts);
        teams = List.copyOf(teams);
        keys = List.copyOf(keys);
        queues = List.copyOf(queues);
    }
}
