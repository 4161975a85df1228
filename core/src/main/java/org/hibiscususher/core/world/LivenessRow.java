package org.hibiscususher.core.world;

import org.hibiscususher.core.message.MemberState;

/**
 * Evidence for and against another entry's process being alive.
 *
 * @param state its state in the membership record last handled
 * @param sinceMs when this entry first saw it in that state, in milliseconds of the tick clock
 * @param recoveries how often it was marked silent and was heard again, up to a maximum; each
 *     doubles the silence after which it counts as silent, so that a flapping member causes fewer
 *     changes
 * @param heardAgainMs when it was first heard after it was marked silent, in milliseconds, -1 if it
 *     was not
 * @param refusals number of refused connections since it was last heard
 * @param firstRefusedMs when the first of them was refused, in milliseconds, -1 if there is none
 * @param missedLists number of consecutive host lists without it since one contained it, -1 if none
 *     ever did
 * @param endedMs when this entry got proof that it has ended, in milliseconds, -1 if it has none
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
    /** Bounds the time after which a member counts as silent to 32 times the silence limit. */
    private static final int MAX_RECOVERIES = 5;

    /** Returns the row of a member that was first seen at the given time. */
    public static LivenessRow of(MemberState state, long nowMs) {
        return new LivenessRow(state, nowMs, 0, -1, 0, -1, -1, -1);
    }

    /** Returns a copy in the given state, which begins now unless the member was already in it. */
    public LivenessRow withState(MemberState value, long nowMs) {
        if (value == state) {
            return this;
        }
        boolean recovered = state == MemberState.SILENT && value == MemberState.ACTIVE;
        int nextRecoveries = Math.min(recoveries + (recovered ? 1 : 0), MAX_RECOVERIES);
        return new LivenessRow(
                value, nowMs, nextRecoveries, -1, refusals, firstRefusedMs, missedLists, endedMs);
    }

    /** Returns a copy after a message from the member. */
    public LivenessRow withHeard(long nowMs) {
        long nextHeardAgainMs =
                state == MemberState.SILENT && heardAgainMs < 0 ? nowMs : heardAgainMs;
        return refusals == 0 && nextHeardAgainMs == heardAgainMs
                ? this
                : new LivenessRow(
                        state, sinceMs, recoveries, nextHeardAgainMs, 0, -1, missedLists, endedMs);
    }

    /** Returns a copy after a refused connection. */
    public LivenessRow withRefusal(long nowMs) {
        long nextFirstRefusedMs = refusals == 0 ? nowMs : firstRefusedMs;
        return new LivenessRow(
                state,
                sinceMs,
                recoveries,
                heardAgainMs,
                refusals + 1,
                nextFirstRefusedMs,
                missedLists,
                endedMs);
    }

    /**
     * Returns a copy after a list of the platform's hosts that did or did not contain the member.
     */
    public LivenessRow withHostList(boolean contained) {
        int nextMissedLists = contained ? 0 : missedLists < 0 ? -1 : missedLists + 1;
        return new LivenessRow(
                state,
                sinceMs,
                recoveries,
                heardAgainMs,
                refusals,
                firstRefusedMs,
                nextMissedLists,
                endedMs);
    }

    /** Returns a copy whose process was proven at the given time to have ended. */
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
