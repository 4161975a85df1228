package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Names permits that are interchangeable.
 *
 * @param kind the kind
 * @param group the pool or team whose allocator grants them
 * @param name the host for slots, otherwise the same as the group
 */
public record PermitKey(PermitKind kind, String group, String name) {
    /** Checks the fields. */
    public PermitKey {
        requireNonNull(kind);
        requireNonNull(group);
        requireNonNull(name);
    }

    /** Returns the key of the slots of a host while it serves a pool. */
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
