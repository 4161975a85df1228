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

/** Ends attempts: gives back permits, and finishes, repeats or refuses their requests. */
public final class RetrySystem {
    private RetrySystem() {}

    /** Deals with the attempts that have ended since the last tick. */
    public static void run(Tick tick) {
        World world = tick.world();
        for (AttemptEnded ended : tick.inputs(AttemptEnded.class)) {
            world.requests()
                    .find(ended.requestId())
                    .filter(r -> r.state() == RequestState.RUNNING)
                    .filter(r -> r.attempt() == ended.attempt())
                    .ifPresentOrElse(
                            r -> end(tick, r, ended.outcome()),
                            () -> tick.count("attempt.ended-late"));
        }
        for (TargetFinished done : tick.inputs(TargetFinished.class)) {
            world.requests()
                    .find(done.requestId())
                    .filter(r -> r.state() == RequestState.ABANDONED)
                    .filter(r -> r.attempt() == done.attempt())
                    .ifPresentOrElse(
                            r -> forget(tick, r, "attempt.answer-dropped"),
                            () -> tick.count("attempt.ended-late"));
        }
        for (AbandonedRequestRow row : world.abandonedRequests().rows()) {
            if (tick.nowMs() >= row.endsByMs()) {
                world.requests()
                        .find(row.requestId())
                        .ifPresent(r -> forget(tick, r, "attempt.longest-run-passed"));
            }
        }
    }

    private static void forget(Tick tick, RequestRow row, String counter) {
        tick.count(counter);
        Permits.release(tick.world(), row.permits());
        tick.world().requests().remove(row.id());
        tick.world().abandonedRequests().remove(row.id());
    }

    private static void end(Tick tick, RequestRow row, AttemptOutcome outcome) {
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
            case NOT_CONNECTED, DECLINED -> repeat(tick, ended, outcome, Refusal.TARGETS_FAILED);
            case BROKEN -> {
                if (row.arrival().idempotent()) {
                    repeat(tick, ended, outcome, Refusal.OUTCOME_UNKNOWN);
                } else {
                    Refusals.refuse(tick, ended, Refusal.OUTCOME_UNKNOWN);
                }
            }
            default -> finish(tick, ended, outcome);
        }
    }

    private static void abandon(World world, RequestRow row) {
        world.requests().put(row.id(), row.withState(RequestState.ABANDONED, row.permits()));
        long untilMs = row.startedMs() + QueueSpec.longestRunMs(row.runLimitMs());
        world.abandonedRequests().put(row.id(), new AbandonedRequestRow(row.id(), untilMs));
        world.idempotencyClaims().remove(row.id());
    }

    private static void finish(Tick tick, RequestRow row, AttemptOutcome outcome) {
        tick.world().requests().remove(row.id());
        IdempotencyKeyClaims.close(tick, row.id(), row.mayHaveRun() || !outcome.notRun());
        if (outcome == AttemptOutcome.ANSWERED) {
            String queue = row.arrival().queue();
            QueueStatsRow load = loadOf(tick, queue);
            long runMs = tick.nowMs() - row.startedMs();
            tick.world().queueStats().put(queue, load.withRunTime(runMs));
        }
    }

    private static QueueStatsRow loadOf(Tick tick, String queue) {
        return tick.world()
                .queueStats()
                .find(queue)
                .orElseGet(() -> QueueStatsRow.of(queue, tick.nowMs()));
    }

    private static void repeat(
            Tick tick, RequestRow row, AttemptOutcome outcome, Refusal otherwise) {
        RequestRow waiting = row.requeued(!outcome.notRun());
        String queue = row.arrival().queue();
        QueueStatsRow load = loadOf(tick, queue).withRefilledTokens(tick.nowMs());
        tick.world().queueStats().put(queue, load);
        if (row.attempt() >= tick.world().settings().maxAttempts()) {
            tick.count("retry.attempts-spent");
            Refusals.refuse(tick, waiting, otherwise);
        } else if (tick.nowMs() >= row.startByMs()) {
            tick.count("retry.deadline");
            Refusals.refuse(tick, waiting, otherwise);
        } else if (!load.allowsRetry()) {
            tick.count("retry.budget-spent");
            Refusals.refuse(tick, waiting, otherwise);
        } else {
            tick.count("retry." + code(outcome));
            tick.world().queueStats().put(queue, load.withRetry());
            tick.world().requests().put(row.id(), waiting);
        }
    }

    private static String code(AttemptOutcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
