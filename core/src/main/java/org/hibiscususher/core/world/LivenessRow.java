package org.hibiscususher.core.world;

import org.hibiscususher.core.message.MemberState;

/**
 * What speaks for and against another entry's process being alive.
 *
 * @param state its state in the membership record when last looked at
 * @param sinceMs when this entry first saw it in that state, in milliseconds of the caller's clock
 * @param recoveries how often it was silent and came back; lengthens the wait for the next time
 * @param heardAgainMs when it was first heard in the silent state, -1 if it was not
 * @param refusals refused connections since it was last heard
 * @param firstRefusedMs when the first of them was seen
 * @param missedLists consecutive host lists without it since one showed it, -1 if none ever did
 * @param endedMs when its end was proven to this entry, -1 if it was not
 */
public record LivenessRow(
        MemberState state,
        long sinceMs,
        int recoveries,
        long heardAgainMs,
        int refusals,
        long firstRefusedMs,
        int missedLists,
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
        return new LivenessRow(
                value, nowMs, times, -1, refusals, firstRefusedMs, missedLists, endedMs);
    }

    /** Returns a copy after the member was heard. */
    public LivenessRow withHeard(long nowMs) {
        long back = state == MemberState.SILENT && heardAgainMs < 0 ? nowMs : heardAgainMs;
        return refusals == 0 && back == heardAgainMs
                ? this
                : new LivenessRow(state, sinceMs, recoveries, back, 0, -1, missedLists, endedMs);
    }

    /** Returns a copy after one more refused connection. */
    public LivenessRow withRefusal(long nowMs) {
        long first = refusals == 0 ? nowMs : firstRefusedMs;
        return new LivenessRow(
                state,
                sinceMs,
                recoveries,
                heardAgainMs,
                refusals + 1,
                first,
                missedLists,
                endedMs);
    }

    /** Returns a copy after one more list of the platform's hosts. */
    public LivenessRow withHostList(boolean shown) {
        int next = shown ? 0 : missedLists < 0 ? -1 : missedLists + 1;
        return new LivenessRow(
                state, sinceMs, recoveries, heardAgainMs, refusals, firstRefusedMs, next, endedMs);
    }

    /** Returns a copy whose process is proven to have ended. */
    public LivenessRow withEnded(long nowMs) {
        return new LivenessRow(
                state,
                sinceMs,
                recoveries,
                heardAgainMs,
                refusals,
                firstRefusedMs,
                missedLists,
                nowMs);
    }

    /** Returns whether the process is proven to have ended. */
    public boolean hasEnded() {
        return endedMs >= 0;
    }
}
