package org.hibiscususher.core.world;

/** The stages in the life of an entry. */
public enum NodeStage {
    /** Not yet a member. */
    JOINING(false, false),
    /** Takes work. */
    SERVING(true, true),
    /** Finishes its work and leaves. */
    LEAVING(false, true),
    /** The record shows that the others take this process for ended; finishes what runs. */
    EXPELLED(false, false),
    /** Nothing is left to finish. */
    GONE(false, false);

    private final boolean mAdmits;
    private final boolean mMember;

    NodeStage(boolean admits, boolean member) {
        mAdmits = admits;
        mMember = member;
    }

    /** Returns whether new work is admitted. */
    public boolean admits() {
        return mAdmits;
    }

    /** Returns whether the process is a member in its own eyes. */
    public boolean member() {
        return mMember;
    }
}
