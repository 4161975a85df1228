package org.hibiscususher.core.scheduler.world;

/** The stage of a process in taking, holding and releasing the ownership. */
public enum TermStage {
    /** Another process is the owner, or none is. */
    FOLLOWING(false),
    /** Awaits a store lease for its claim. */
    LEASING(false),
    /** Awaits the commit that makes it the owner. */
    CLAIMING(false),
    /** Is the owner and reads the stored records. */
    LOADING(true),
    /** Is the owner and schedules. */
    OWNING(true),
    /** Is the owner and releases the ownership. */
    RELEASING(true);

    private final boolean mOwner;

    TermStage(boolean owner) {
        mOwner = owner;
    }

    /** Returns whether the process has become the owner and has not stepped down. */
    public boolean isOwner() {
        return mOwner;
    }
}
