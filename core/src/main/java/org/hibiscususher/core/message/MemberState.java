package org.hibiscususher.core.message;

/** What the other members may expect of a member. */
public enum MemberState {
    /** Takes work and may allocate. */
    ACTIVE(true) {
        @Override
        public MemberState next(LivenessObservation sign) {
            return switch (sign) {
                case ENDED -> DEAD;
                case SILENT -> SILENT;
                default -> this;
            };
        }
    },
    /** Finishes its work and leaves; allocates nothing. */
    LEAVING(false) {
        @Override
        public MemberState next(LivenessObservation sign) {
            return sign == LivenessObservation.ENDED ? DEAD : this;
        }
    },
    /** Was not heard for long; may hold permits and may be running work. */
    SILENT(false) {
        @Override
        public MemberState next(LivenessObservation sign) {
            return switch (sign) {
                case ENDED -> DEAD;
                case HEARD -> ACTIVE;
                default -> this;
            };
        }
    },
    /** Is proven to have ended; what it held rests until its work must be over. */
    DEAD(false) {
        @Override
        public MemberState next(LivenessObservation sign) {
            return this;
        }
    };

    private final boolean mAllocates;

    MemberState(boolean allocates) {
        mAllocates = allocates;
    }

    /** Returns the state of a member in this state of which the given sign was seen. */
    public abstract MemberState next(LivenessObservation sign);

    /** Returns whether permits may be allocated by a member in this state. */
    public boolean mayAllocate() {
        return mAllocates;
    }

    /** Returns whether a member in this state may hold permits and run work. */
    public boolean mayHoldPermits() {
        return this != DEAD;
    }

    /** Returns whether a member that was last seen in this state holds nothing once removed. */
    public boolean freesPermitsOnRemoval() {
        return this == LEAVING || this == DEAD;
    }
}
