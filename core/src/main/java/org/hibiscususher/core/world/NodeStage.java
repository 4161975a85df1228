package org.hibiscususher.core.world;

/** The stages in the life of an entry. */
public enum NodeStage {
    /** Not yet a member. */
    JOINING(false),
    /** Takes work. */
    SERVING(true),
    /** Finishes its work and leaves. */
    LEAVING(false),
    /** Nothing is left to finish. */
    GONE(false);

    private final boolean mAdmits;

    NodeStage(boolean admits) {
        mAdmits = admits;
    }

    /** Returns whether new work is admitted. */
    public boolean admits() {
        return mAdmits;
    }
}
