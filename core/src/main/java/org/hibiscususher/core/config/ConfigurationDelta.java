package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

import java.util.StringJoiner;

/**
 * What leads from one revision of the configuration to the next. Immutable.
 *
 * @param pools edits of pools
 * @param hosts edits of hosts
 * @param teams edits of teams
 * @param keys edits of keys
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

    private static final int PUT_BYTES = 200;
    private static final int REMOVED_BYTES = 24;

    /** Checks the fields. */
    public ConfigurationDelta {
        requireNonNull(pools);
        requireNonNull(hosts);
        requireNonNull(teams);
        requireNonNull(keys);
        requireNonNull(queues);
    }

    /** Returns the delta that leads from one configuration to another; takes linear time. */
    public static ConfigurationDelta between(Configuration before, Configuration after) {
        return new ConfigurationDelta(
                Edits.between(before.pools(), after.pools()),
                Edits.between(before.hosts(), after.hosts()),
                Edits.between(before.teams(), after.teams()),
                Edits.between(before.keys(), after.keys()),
                Edits.between(before.queues(), after.queues()));
    }

    /** Returns the configuration that follows the given one. */
    public Configuration applyTo(Configuration before) {
        return new Configuration(
                before.revision() + 1,
                pools.applyTo(before.pools(), PoolSpec::id),
                hosts.applyTo(before.hosts(), HostSpec::id),
                teams.applyTo(before.teams(), TeamSpec::id),
                keys.applyTo(before.keys(), KeySpec::id),
                queues.applyTo(before.queues(), QueueSpec::id));
    }

    /** Returns about how many bytes the delta takes in the platform's store. */
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

    /** Returns one line for operators, as {@code hosts +2 -1, keys -1}. */
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
