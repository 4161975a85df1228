package org.hibiscususher.core.scheduler.world;

/**
 * The first progress that an executor reported of a run to this owner. An earlier owner may have
 * started the run, or it may have continued from a checkpoint, so it need not be 0.
 *
 * @param percent part of the work that was done, in percent; negative if nothing was reported yet
 * @param atMs when it was reported, in milliseconds of the steady clock
 */
public record FirstReport(int percent, long atMs) {
    /** Nothing has been reported yet. */
    public static final FirstReport NONE = new FirstReport(-1, 0);

    /** Returns whether anything has been reported. */
    public boolean isPresent() {
        return percent >= 0;
    }
}
