package org.hibiscususher.core.request;

import java.util.List;
import java.util.Locale;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.AttemptEnded;
import org.hibiscususher.core.message.Input.TargetFinished;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.world.AbandonedRequestRow;
import org.hibiscususher.core.world.QueueStatsRow;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Ends attempts: releases their permits, and finishes, retries or refuses their requests.
 *
 * <p>An attempt whose target may still be busy keeps its permits after its caller has gone:
 * otherwise the slot would be used again and the host would run more than its limit. The permits
 * are released when the target is done, or when the longest run time is over.
 */
public final class RetrySystem {
    private RetrySystem() {}

    /** Handles the attempts that have ended, or have exceeded the longest run time. */
    public static void run(Tick tick) {
        World world = tick.world();
        for (AttemptEnded ended : tick.inputs(AttemptEnded.class)) {
            world.requests()
                    .find(ended.requestId())
                    .filter(r -> r.state() == RequestState.RUNNING)
                    .filter(r -> r.attempt() == ended.attempt())
                    .ifPresentOrElse(
                            r -> handleOutcome(tick, r, ended.outcome()),
                            () -> tick.count("attempt.ended-late"));
        }
        for (TargetFinished finished : tick.inputs(TargetFinished.class)) {
            world.requests()
                    .find(finished.requestId())
                    .filter(r -> r.state() == RequestState.ABANDONED)
                    .filter(r -> r.attempt() == finished.attempt())
                    .ifPresentOrElse(
                            r -> discard(tick, r, "attempt.answer-dropped"),
                            () -> tick.count("attempt.ended-late"));
        }
        for (AbandonedRequestRow row : world.abandonedRequests().rows()) {
            if (tick.nowMs() >= row.endsByMs()) {
                world.requests()
                        .find(row.requestId())
                        .ifPresent(r -> discard(tick, r, "attempt.longest-run-passed"));
            }
        }
    }

    private static void discard(Tick tick, RequestRow row, String counter) {
        tick.count(counter);
        Permits.release(tick.world(), row.permits());
        tick.world().requests().remove(row.id());
        tick.world().abandonedRequests().remove(row.id());
    }

    private static void handleOutcome(Tick tick, RequestRow row, AttemptOutcome outcome) {
        World world = tick.world();
        tick.count("attempt." + code(outcome));
        if (!outcome.targetFinished()) {
            abandon(world, row);
            if (outcome == AttemptOutcome.TIMED_OUT) {
                Refusals.refuse(tick, row.id(), Refusal.OUTCOME_UNKNOWN);
            }
            return;
        }
        Permits.release(world, row.permits());
        RequestRow ended = row.withState(RequestState.RUNNING, List.of());
        switch (outcome) {
            case NOT_CONNECTED, DECLINED -> retry(tick, ended, outcome, Refusal.TARGETS_FAILED);
            case BROKEN -> {
                if (row.arrival().idempotent()) {
                    retry(tick, ended, outcome, Refusal.OUTCOME_UNKNOWN);
                } else {
                    Refusals.refuse(tick, ended, Refusal.OUTCOME_UNKNOWN);
                }
            }
            default -> finish(tick, ended, outcome);
        }
    }

    /**
     * Keeps a request with its permits until its target is done with it.
     *
     * <p>Its idempotency key is not released, since the request may have run.
     */
    private static void abandon(World world, RequestRow row) {
        world.requests().put(row.id(), row.withState(RequestState.ABANDONED, row.permits()));
        long endsByMs = row.startedMs() + QueueSpec.longestRunMs(row.runLimitMs());
        world.abandonedRequests().put(row.id(), new AbandonedRequestRow(row.id(), endsByMs));
        world.idempotencyClaims().remove(row.id());
    }

    private static void finish(Tick tick, RequestRow row, AttemptOutcome outcome) {
        tick.world().requests().remove(row.id());
        IdempotencyKeyClaims.close(tick, row.id(), row.mayHaveRun() || !outcome.notRun());
        if (outcome == AttemptOutcome.ANSWERED) {
            String queue = row.arrival().queue();
            QueueStatsRow stats = statsOf(tick, queue);
            long runMs = tick.nowMs() - row.startedMs();
            tick.world().queueStats().put(queue, stats.withRunTime(runMs));
        }
    }

    private static QueueStatsRow statsOf(Tick tick, String queue) {
        return tick.world()
                .queueStats()
                .find(queue)
                .orElseGet(() -> QueueStatsRow.of(queue, tick.nowMs()));
    }

    /**
     * Lets a request wait for a further attempt, or refuses it if its attempts, its wait limit or
     * the queue's retry budget are used up.
     *
     * @param outcome how the last attempt ended
     * @param otherwise the refusal if no further attempt may be made
     */
    private static void retry(
            Tick tick, RequestRow row, AttemptOutcome outcome, Refusal otherwise) {
        RequestRow waiting = row.requeued(!outcome.notRun());
        String queue = row.arrival().queue();
        QueueStatsRow stats = statsOf(tick, queue).withRefilledTokens(tick.nowMs());
        tick.world().queueStats().put(queue, stats);
        if (row.attempt() >= tick.world().settings().maxAttempts()) {
            tick.count("retry.attempts-spent");
            Refusals.refuse(tick, waiting, otherwise);
        } else if (tick.nowMs() >= row.startByMs()) {
            tick.count("retry.deadline");
            Refusals.refuse(tick, waiting, otherwise);
        } else if (!stats.allowsRetry()) {
            tick.count("retry.budget-spent");
            Refusals.refuse(tick, waiting, otherwise);
        } else {
            tick.count("retry." + code(outcome));
            tick.world().queueStats().put(queue, stats.withRetry());
            tick.world().requests().put(row.id(), waiting);
        }
    }

    private static String code(AttemptOutcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
