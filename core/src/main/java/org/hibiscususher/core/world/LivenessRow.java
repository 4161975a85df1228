package org.hibiscususher.core.world;

import org.hibiscususher.core.message.MemberState;

/**
 * What speaks for and against another entry's process being alive.
 *
 * @param state its state in the membership record when last looked at
 * @param sinceMs when this entry first saw it in that state, in milliseconds of the caller's clock
 * @param recoveries how often it was silent and came back; lengthens the wait for the next time
 * @param backMs when it was first heard in the silent state, -1 if it was not
 * @param refusals refused connections since it was last heard
 * @param firstRefusedMs when the first of them was seen
 * @param missing consecutive host lists without it since one showed it, -1 if none ever did
 * @param endedMs when its end was proven to this entry, -1 if it was not
 */
public record LivenessRow(
        MemberState state,
        long sinceMs,
        int recoveries,
        long backMs,
        int refusals,
        long firstRefusedMs,
        int missing,
        long endedMs) {
    private static final int MAX_RECOVERIES = 5;

    /** Returns the row of a member that was first seen just now. */
    public static LivenessRow of(MemberState state, long nowMs) {
        return new LivenessRow(state, nowMs, 0, -1, 0, -1, -1, -1);
    }

    /** Returns a copy in the given state; a state other than before begins now. */
    public LivenessRow withState(MemberState value, long nowMs) {
        if (value == state) {
            return this;
        }
        boolean recovered = state == MemberState.SILENT && value == MemberState.ACTIVE;
        int times = Math.min(recoveries + (recovered ? 1 : 0), MAX_RECOVERIES);
        return new LivenessRow(value, nowMs, times, -1, refusals, firstRefusedMs, missing, endedMs);
    }

    /** Returns a copy after the member was heard. */
    public LivenessRow heard(long nowMs) {
        long back = state == MemberState.SILENT && backMs < 0 ? nowMs : backMs;
        return refusals == 0 && back == backMs
                ? this
                : new LivenessRow(state, sinceMs, recoveries, back, 0, -1, missing, endedMs);
    }

    /** Returns a copy after one more refused connection. */
    public LivenessRow refused(long nowMs) {
        long first = refusals == 0 ? nowMs : firstRefusedMs;
        return new LivenessRow(
                state, sinceMs, recoveries, backMs, refusals + 1, first, missing, endedMs);
    }

    /** Returns a copy after one more list of the platform's hosts. */
    public LivenessRow listed(boolean shown) {
        int next = shown ? 0 : missing < 0 ? -1 : missing + 1;
        return new LivenessRow(
                state, sinceMs, recoveries, backMs, refusals, firstRefusedMs, next, endedMs);
    }

    /** Returns a copy whose process is proven to have ended. */
    public LivenessRow ended(long nowMs) {
        return new LivenessRow(
                state, sinceMs, recoveries, backMs, refusals, firstRefusedMs, missing, nowMs);
    }

    /** Returns whether the process is proven to have ended. */
    public boolean hasEnded() {
        return endedMs >= 0;
    }
}
