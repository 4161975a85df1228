package org.hibiscususher.core.message;

/** Operators' commands about the maintenance wave. */
public enum WaveCommand {
    /** Plans a new wave. */
    PLAN,
    /** Starts the planned or paused wave. */
    START,
    /** Takes no more hosts out of service. */
    PAUSE,
    /** Shows the wave. */
    SHOW;

    /** Returns the state to which the command leads; for {@link #SHOW} the present one. */
    public WaveState next(WaveState present) {
        return switch (this) {
            case PLAN -> WaveState.PLANNED;
            case START -> WaveState.RUNNING;
            case PAUSE -> WaveState.PAUSED;
            case SHOW -> present;
        };
    }
}
