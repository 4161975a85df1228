package org.hibiscususher.core.message;

/** The kinds of groups whose permits one allocator grants. */
public enum GroupKind {
    /** A pool: its slots and its permits for long runs. */
    POOL("pool:"),
    /** A team: its units. */
    TEAM("team:");

    private final String mPrefix;

    GroupKind(String prefix) {
        mPrefix = prefix;
    }

    /** Returns the name by which the members choose the allocator of a group of this kind. */
    String hashedName(String name) {
        return mPrefix + name;
    }
}
