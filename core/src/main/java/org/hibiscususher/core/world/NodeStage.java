package org.hibiscususher.core.world;

/** The stages of an entry's process. */
public enum NodeStage {
    /** Waits to be listed in the membership record. */
    JOINING(false, false),
    /** Admits work. */
    SERVING(true, true),
    /** Finishes its requests and leaves the membership. */
    LEAVING(false, true),
    /**
     * The other members have declared this process ended or removed it; it finishes its running
     * requests.
     */
    EXPELLED(false, false),
    /** Nothing is left to finish. */
    GONE(false, false);

    private final boolean mAdmits;
    private final boolean mMember;

    NodeStage(boolean admits, boolean member) {
        mAdmits = admits;
        mMember = member;
    }

    /** Returns whether requests are admitted. */
    public boolean admits() {
        return mAdmits;
    }

    /** Returns whether the process considers itself a member. */
    public boolean member() {
        return mMember;
    }
}
