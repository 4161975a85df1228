package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Identifies interchangeable permits.
 *
 * @param kind what a permit allows
 * @param group name of the pool or team whose allocator grants the permits
 * @param name the host for slots, otherwise the same as the group
 */
public record PermitKey(PermitKind kind, String group, String name) {
    /** Rejects null components. */
    public PermitKey {
        requireNonNull(kind);
        requireNonNull(group);
        requireNonNull(name);
    }

    /** Returns the key of the slots of a host in the pool that it serves. */
    public static PermitKey slot(String pool, String host) {
        return new PermitKey(PermitKind.SLOT, pool, host);
    }

    /** Returns the key of a team's units. */
    public static PermitKey unit(String team) {
        return new PermitKey(PermitKind.UNIT, team, team);
    }

    /** Returns the key of the permits for long runs in a pool. */
    public static PermitKey longRun(String pool) {
        return new PermitKey(PermitKind.LONG_RUN, pool, pool);
    }

    /** Returns the group to which the permits belong. */
    public PermitGroup permitGroup() {
        return new PermitGroup(kind.groupKind(), group);
    }
}
