package org.hibiscususher.core.note;

import java.util.List;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.config.TeamSpec;

/**
 * Whole declarations, as the sections "added" and "changed" of a release note list them.
 *
 * @param pools pools
 * @param hosts hosts
 * @param teams teams
 * @param keys keys
 * @param queues queues
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
