package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Identifies the permits that one allocator grants.
 *
 * @param kind whether the group belongs to a pool or a team
 * @param name name of the pool or team
 */
public record PermitGroup(GroupKind kind, String name) {
    /** Rejects null components. */
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

    /** Returns the name that is hashed to choose the allocator. */
    public String hashedName() {
        return kind.hashedName(name);
    }
}
