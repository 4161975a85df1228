package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

import java.util.StringJoiner;

/**
 * The difference between one revision of the configuration and the next. Immutable.
 *
 * @param pools edits of pools
 * @param hosts edits of hosts
 * @param teams edits of teams
 * @param keys edits of access keys
 * @param queues edits of queues
 */
public record ConfigurationDelta(
        Edits<PoolSpec> pools,
        Edits<HostSpec> hosts,
        Edits<TeamSpec> teams,
        Edits<KeySpec> keys,
        Edits<QueueSpec> queues) {
    /** No change. */
    public static final ConfigurationDelta NONE =
            new ConfigurationDelta(
                    Edits.none(), Edits.none(), Edits.none(), Edits.none(), Edits.none());

    /** Estimate of the stored size of one declaration, in bytes. */
    private static final int PUT_BYTES = 200;

    /** Estimate of the stored size of one removed id, in bytes. */
    private static final int REMOVED_BYTES = 24;

    /** Checks that no field is null. */
    public ConfigurationDelta {
        requireNonNull(pools);
        requireNonNull(hosts);
        requireNonNull(teams);
        requireNonNull(keys);
        requireNonNull(queues);
    }

    /**
     * Returns the delta from one configuration to another, whatever their revisions. Linear time.
     */
    public static ConfigurationDelta between(Configuration before, Configuration after) {
        return new ConfigurationDelta(
                Edits.between(before.pools(), after.pools()),
                Edits.between(before.hosts(), after.hosts()),
                Edits.between(before.teams(), after.teams()),
                Edits.between(before.keys(), after.keys()),
                Edits.between(before.queues(), after.queues()));
    }

    /** Returns the given configuration with this delta applied; its revision is one higher. */
    public Configuration applyTo(Configuration before) {
        return new Configuration(
                before.revision() + 1,
                pools.applyTo(before.pools(), PoolSpec::id),
                hosts.applyTo(before.hosts(), HostSpec::id),
                teams.applyTo(before.teams(), TeamSpec::id),
                keys.applyTo(before.keys(), KeySpec::id),
                queues.applyTo(before.queues(), QueueSpec::id));
    }

    /** Returns an estimate of the delta's size in the platform's store, in bytes. */
    public int estimatedBytes() {
        int puts =
                pools.put().size()
                        + hosts.put().size()
                        + teams.put().size()
                        + keys.put().size()
                        + queues.put().size();
        int removals =
                pools.removed().size()
                        + hosts.removed().size()
                        + teams.removed().size()
                        + keys.removed().size()
                        + queues.removed().size();
        return puts * PUT_BYTES + removals * REMOVED_BYTES;
    }

    /** Returns a summary for operators on one line, as {@code hosts +2 -1, keys -1}. */
    public String summary() {
        StringJoiner line = new StringJoiner(", ");
        add(line, "pools", pools);
        add(line, "hosts", hosts);
        add(line, "teams", teams);
        add(line, "keys", keys);
        add(line, "queues", queues);
        return line.length() == 0 ? "nothing" : line.toString();
    }

    private static void add(StringJoiner line, String type, Edits<?> edits) {
        if (edits.isEmpty()) {
            return;
        }
        String put = edits.put().isEmpty() ? "" : " +" + edits.put().size();
        String removed = edits.removed().isEmpty() ? "" : " -" + edits.removed().size();
        line.add(type + put + removed);
    }
}
