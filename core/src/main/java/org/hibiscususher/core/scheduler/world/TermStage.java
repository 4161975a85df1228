package org.hibiscususher.core.scheduler.world;

/** Where a process stands in the ownership. */
public enum TermStage {
    /** Another process owns the scheduling, or nobody does. */
    FOLLOWING(false),
    /** Waits for a lease of the store. */
    LEASING(false),
    /** Tries to become the owner. */
    CLAIMING(false),
    /** Is the owner and reads what is stored. */
    LOADING(true),
    /** Is the owner. */
    OWNING(true),
    /** Is the owner and gives the ownership up. */
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
