package org.hibiscususher.core.scheduler.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.AdviceFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.AdviceReceived;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.RequestAdvice;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.AdviceRequestRow;
import org.hibiscususher.core.scheduler.world.AdviceRow;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskGroup;
import org.hibiscususher.core.scheduler.world.TaskState;

/**
 * Requests placement tokens for the steps of queues whose placement policy only an outside service
 * knows.
 *
 * <p>A token permits the runs of one step on one executor for a limited time; without it, no run of
 * the step is started there. One request is in flight at a time.
 */
public final class AdviceSystem {
    /** Most executors in a request; the service needs time for each of them. */
    private static final int MAX_EXECUTORS_PER_REQUEST = 30;

    /** Time after which an unanswered request is abandoned, in milliseconds. */
    private static final long TIMEOUT_MS = 3_000;

    /** Part at the end of a token's validity in which the token is not used, in milliseconds. */
    private static final long VALIDITY_MARGIN_MS = 300;

    private AdviceSystem() {}

    /** Stores the tokens received, then sends the next request if none is in flight. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (SchedulerInput input : tick.inputs()) {
            AdviceRequestRow request = world.adviceRequest().get();
            if (input instanceof AdviceReceived received && received.callId() == request.callId()) {
                storeTokens(tick, received, request);
            } else if (input instanceof AdviceFailed failed
                    && failed.callId() == request.callId()) {
                tick.log("advice-failed", "step=" + failed.step());
                world.adviceRequest().set(AdviceRequestRow.NONE);
            }
        }
        AdviceRequestRow request = world.adviceRequest().get();
        boolean idle = request.callId() == 0 || tick.nowMs() - request.sentMs() > TIMEOUT_MS;
        if (idle && Authority.mayStartRuns(tick)) {
            requestNext(tick);
        }
    }

    /**
     * Adds received tokens to those of earlier requests for the step that are still valid. A step's
     * tokens share one expiry time, the earliest.
     */
    private static void storeTokens(
            SchedulerTick tick, AdviceReceived received, AdviceRequestRow request) {
        SchedulerWorld world = tick.world();
        AdviceRow earlier = world.advice().find(received.step()).orElse(null);
        boolean stillValid = earlier != null && earlier.validUntilMs() > tick.nowMs();
        Map<String, String> tokens = new HashMap<>(stillValid ? earlier.tokens() : Map.of());
        Set<String> requested = new HashSet<>(stillValid ? earlier.requested() : Set.of());
        tokens.putAll(received.tokens());
        requested.addAll(request.executors());
        long untilMs = request.sentMs() + received.validMs() - VALIDITY_MARGIN_MS;
        long validUntilMs = stillValid ? Math.min(earlier.validUntilMs(), untilMs) : untilMs;
        world.advice()
                .put(
                        received.step(),
                        new AdviceRow(received.step(), tokens, requested, validUntilMs));
        world.adviceRequest().set(AdviceRequestRow.NONE);
        tick.log(
                "advice",
                "step="
                        + received.step()
                        + " allowed="
                        + received.tokens().size()
                        + " asked="
                        + request.executors().size()
                        + " valid_ms="
                        + received.validMs());
    }

    /**
     * Sends a request for the first waiting task that needs a token and has executors to ask for.
     */
    private static void requestNext(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (TaskGroup group : world.tasks().groups()) {
            boolean needsToken =
                    group.state() == TaskState.WAITING
                            && !group.uncertain()
                            && world.jobs()
                                    .find(group.step().jobId())
                                    .filter(j -> j.policy().needsPlacementToken())
                                    .isPresent();
            if (needsToken && request(tick, group)) {
                return;
            }
        }
    }

    /**
     * Requests tokens for the step of waiting tasks on executors that have not been asked for yet.
     *
     * @return whether a request was sent
     */
    private static boolean request(SchedulerTick tick, TaskGroup group) {
        SchedulerWorld world = tick.world();
        StepKey step = group.step();
        AdviceRow earlier = world.advice().find(step).orElse(null);
        boolean stillValid = earlier != null && earlier.validUntilMs() > tick.nowMs();
        List<String> executors = new ArrayList<>();
        for (ExecutorRow row : world.executors().group(group.pool())) {
            boolean isNew = !stillValid || !earlier.requested().contains(row.id());
            if (isNew
                    && executors.size() < MAX_EXECUTORS_PER_REQUEST
                    && FreeCapacity.acceptsRuns(tick, row)) {
                executors.add(row.id());
            }
        }
        if (executors.isEmpty()) {
            return false;
        }
        long callId = tick.nextCallId();
        world.adviceRequest().set(new AdviceRequestRow(callId, tick.nowMs(), executors));
        tick.emit(new RequestAdvice(callId, step, executors));
        return true;
    }

    /** Returns the valid token for the runs of a step on an executor, or empty if there is none. */
    static Optional<String> placementToken(SchedulerTick tick, StepKey step, String executor) {
        return tick.world()
                .advice()
                .find(step)
                .filter(a -> a.validUntilMs() > tick.nowMs())
                .map(a -> a.tokens().get(executor));
    }
}
