package org.hibiscususher.core.message;

/** What the other members may expect of a member. */
public enum MemberState {
    /** Takes work and may allocate. */
    ACTIVE(true),
    /** Finishes its work and leaves; allocates nothing. */
    LEAVING(false),
    /** Was not heard for long; may hold permits and may be running work. */
    SILENT(false);

    private final boolean mAllocates;

    MemberState(boolean allocates) {
        mAllocates = allocates;
    }

    /** Returns whether permits may be allocated by a member in this state. */
    public boolean allocates() {
        return mAllocates;
    }
}
