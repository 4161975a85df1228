package org.hibiscususher.core.message;

/** What the other members may assume of a member. */
public enum MemberState {
    /** Accepts work and may act as an allocator. */
    ACTIVE(true) {
        @Override
        public MemberState next(LivenessObservation observation) {
            return switch (observation) {
                case ENDED -> DEAD;
                case SILENT -> SILENT;
                default -> this;
            };
        }
    },
    /** Finishes its work and leaves; does not act as an allocator. */
    LEAVING(false) {
        @Override
        public MemberState next(LivenessObservation observation) {
            return observation == LivenessObservation.ENDED ? DEAD : this;
        }
    },
    /** Was not heard for the silence limit; may still hold permits and run work. */
    SILENT(false) {
        @Override
        public MemberState next(LivenessObservation observation) {
            return switch (observation) {
                case ENDED -> DEAD;
                case HEARD -> ACTIVE;
                default -> this;
            };
        }
    },
    /**
     * Is proven to have ended. Its permits are reclaimed only after the longest run, since targets
     * may still be busy with its requests.
     */
    DEAD(false) {
        @Override
        public MemberState next(LivenessObservation observation) {
            return this;
        }
    };

    private final boolean mMayAllocate;

    MemberState(boolean mayAllocate) {
        mMayAllocate = mayAllocate;
    }

    /** Returns the state that follows this one after an observation. */
    public abstract MemberState next(LivenessObservation observation);

    /** Returns whether a member in this state may act as an allocator. */
    public boolean mayAllocate() {
        return mMayAllocate;
    }

    /** Returns whether a member in this state may hold permits and run work. */
    public boolean mayHoldPermits() {
        return this != DEAD;
    }

    /**
     * Returns whether the permits of a member are free once it is removed from the record in this
     * state.
     */
    public boolean freesPermitsOnRemoval() {
        return this == LEAVING || this == DEAD;
    }
}
