package org.hibiscususher.core.scheduler.admission;

import java.util.OptionalLong;
import org.hibiscususher.core.scheduler.world.ForwardLimitRow;
import org.hibiscususher.core.scheduler.world.ForwardRates;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/** Why an entry refuses a submission by itself, in the order in which the reasons are checked. */
enum EntryRefusal {
    /** The owner has just refused a similar submission of the team. */
    TEAM_BACKLOG("team-backlog") {
        @Override
        OptionalLong retryAfterMs(SchedulerWorld world, EntrySubmission submission, long nowMs) {
            return submission
                    .teamQueue()
                    .flatMap(key -> world.teamRejections().find(key))
                    .filter(row -> submission.spec().filter(s -> row.covers(s, nowMs)).isPresent())
                    .map(row -> OptionalLong.of(Math.max(MIN_RETRY_MS, row.retryAtMs() - nowMs)))
                    .orElse(OptionalLong.empty());
        }
    },
    /** As many submissions as the owner can decide on in time are unanswered. */
    ENTRY_BUSY("entry-busy") {
        @Override
        OptionalLong retryAfterMs(SchedulerWorld world, EntrySubmission submission, long nowMs) {
            UnansweredForwards unanswered = UnansweredForwards.count(world);
            ForwardLimitRow row = world.forwardLimit().get();
            if (ForwardLimit.admits(row, unanswered, submission.team())) {
                return OptionalLong.empty();
            }
            ForwardRates rates = row.recent().withRefusal(nowMs);
            world.forwardLimit().set(row.withRecent(rates));
            long afterMs = Math.max(MIN_RETRY_MS, rates.catchUpMs());
            return OptionalLong.of(Math.min(MAX_RETRY_MS, afterMs));
        }
    };

    private static final long MIN_RETRY_MS = 1_000;

    /** Longest time after which a caller should retry; floods last some seconds. */
    private static final long MAX_RETRY_MS = 8_000;

    private final String mReason;

    EntryRefusal(String reason) {
        mReason = reason;
    }

    /** Returns the reason that the caller and the log get. */
    String reason() {
        return mReason;
    }

    /**
     * Returns after how many milliseconds the caller of a refused submission should retry, without
     * jitter, or empty if this is no reason to refuse it.
     */
    abstract OptionalLong retryAfterMs(
            SchedulerWorld world, EntrySubmission submission, long nowMs);
}
