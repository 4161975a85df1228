package org.hibiscususher.core.message;

/** The kinds of permit groups; one allocator grants all permits of a group. */
public enum GroupKind {
    /** A pool: the slots of its hosts and its permits for long runs. */
    POOL("pool:"),
    /** A team: its units. */
    TEAM("team:");

    private final String mPrefix;

    GroupKind(String prefix) {
        mPrefix = prefix;
    }

    /**
     * Returns the name that is hashed to choose the allocator of a group of this kind. The prefix
     * keeps a pool and a team of the same name apart.
     */
    String hashedName(String name) {
        return mPrefix + name;
    }
}
