package org.hibiscususher.core.message;

/** What operators can say about the maintenance wave. */
public enum WaveCommand {
    /** Plan a new wave. */
    PLAN,
    /** Start the planned or paused wave. */
    START,
    /** Take no further host. */
    PAUSE,
    /** Show the wave. */
    SHOW;

    /** Returns the state that the command leads to; for {@link #SHOW} the present one. */
    public WaveState next(WaveState present) {
        return switch (this) {
            case PLAN -> WaveState.PLANNED;
            case START -> WaveState.RUNNING;
            case PAUSE -> WaveState.PAUSED;
            case SHOW -> present;
        };
    }
}
