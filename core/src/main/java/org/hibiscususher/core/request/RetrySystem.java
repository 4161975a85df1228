package org.hibiscususher.core.request;

import java.util.List;
import java.util.Locale;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.AttemptEnded;
import org.hibiscususher.core.message.Input.TargetDone;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Ends attempts: gives back permits, and finishes, repeats or refuses their requests. */
public final class RetrySystem {
    private RetrySystem() {}

    /** Deals with the attempts that have ended since the last tick. */
    public static void run(Tick tick) {
        for (AttemptEnded ended : tick.inputs(AttemptEnded.class)) {
            tick.world()
                    .requests()
                    .find(ended.requestId())
                    .filter(r -> r.state() == RequestState.RUNNING)
                    .filter(r -> r.attempt() == ended.attempt())
                    .ifPresent(r -> end(tick, r, ended.outcome()));
        }
        for (TargetDone done : tick.inputs(TargetDone.class)) {
            tick.world()
                    .requests()
                    .find(done.requestId())
                    .filter(r -> r.state() == RequestState.ABANDONED)
                    .filter(r -> r.attempt() == done.attempt())
                    .ifPresent(r -> forget(tick, r));
        }
        for (RequestRow row : tick.world().requests().rows()) {
            if (row.state() == RequestState.ABANDONED
                    && tick.nowMs() - row.startedMs() >= row.runLimitMs()) {
                forget(tick, row);
            }
        }
    }

    private static void forget(Tick tick, RequestRow row) {
        Permits.release(tick.world(), row.permits());
        tick.world().requests().remove(row.id());
    }

    private static void end(Tick tick, RequestRow row, AttemptOutcome outcome) {
        World world = tick.world();
        tick.count("attempt." + outcome.name().toLowerCase(Locale.ROOT).replace('_', '-'));
        if (!outcome.targetDone()) {
            world.requests().put(row.id(), row.withState(RequestState.ABANDONED, row.permits()));
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
            case TIMED_OUT -> Refusals.refuse(tick, ended, Refusal.OUTCOME_UNKNOWN);
            default -> world.requests().remove(row.id());
        }
    }

    private static void repeat(
            Tick tick, RequestRow row, AttemptOutcome outcome, Refusal otherwise) {
        if (row.attempt() >= tick.world().settings().maxAttempts()) {
            Refusals.refuse(tick, row, otherwise);
            return;
        }
        tick.count("retry." + outcome.name().toLowerCase(Locale.ROOT).replace('_', '-'));
        tick.world().requests().put(row.id(), row.waitingAgain(!outcome.notRun()));
    }
}
