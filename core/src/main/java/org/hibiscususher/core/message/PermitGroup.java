package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Names the permits that one allocator grants.
 *
 * @param kind the kind of group
 * @param name the pool or team
 */
public record PermitGroup(GroupKind kind, String name) {
    /** Checks the fields. */
    public PermitGroup {
        requireNonNull(kind);
        requireNonNull(name);
    }

    /** Returns the group of a pool. */
    public static PermitGroup pool(String pool) {
        return new PermitGroup(GroupKind.POOL, pool);
    }

    /** Returns the group of a team. */
    public static PermitGroup team(String team) {
        return new PermitGroup(GroupKind.TEAM, team);
    }

    /** Returns the name by which the members choose the allocator. */
    public String hashedName() {
        return kind.hashedName(name);
    }
}
