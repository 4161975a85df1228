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
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;

/** Asks which executors may run the steps of queues whose policy only an outside service knows. */
public final class AdviceSystem {
    /** Most executors that a request asks for: the answer takes time for each. */
    private static final int MAX_ASKED = 30;

    private static final long TIMEOUT_MS = 3_000;

    /** Time before the end of a permission from which it is not relied on, in milliseconds. */
    private static final long MARGIN_MS = 300;

    private AdviceSystem() {}

    /** Takes in advice, and asks for the next step that needs some. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (SchedulerInput input : tick.inputs()) {
            AdviceRequestRow call = world.adviceRequest().get();
            if (input instanceof AdviceReceived given && given.callId() == call.callId()) {
                take(tick, given, call);
            } else if (input instanceof AdviceFailed failed && failed.callId() == call.callId()) {
                tick.log("advice-failed", "step=" + failed.step());
                world.adviceRequest().set(AdviceRequestRow.NONE);
            }
        }
        AdviceRequestRow call = world.adviceRequest().get();
        boolean free = call.callId() == 0 || tick.nowMs() - call.sentMs() > TIMEOUT_MS;
        if (free && Authority.mayStartRuns(tick)) {
            askNext(tick);
        }
    }

    private static void take(SchedulerTick tick, AdviceReceived given, AdviceRequestRow call) {
        SchedulerWorld world = tick.world();
        AdviceRow before = world.advice().find(given.step()).orElse(null);
        boolean fresh = before != null && before.validUntilMs() > tick.nowMs();
        Map<String, String> tickets = new HashMap<>(fresh ? before.tokens() : Map.of());
        Set<String> asked = new HashSet<>(fresh ? before.requested() : Set.of());
        tickets.putAll(given.tokens());
        asked.addAll(call.executors());
        long untilMs = call.sentMs() + given.validMs() - MARGIN_MS;
        long validUntilMs = fresh ? Math.min(before.validUntilMs(), untilMs) : untilMs;
        world.advice().put(given.step(), new AdviceRow(given.step(), tickets, asked, validUntilMs));
        world.adviceRequest().set(AdviceRequestRow.NONE);
        tick.log(
                "advice",
                "step="
                        + given.step()
                        + " allowed="
                        + given.tokens().size()
                        + " asked="
                        + call.executors().size()
                        + " valid_ms="
                        + given.validMs());
    }

    private static void askNext(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (TaskGroup group : world.tasks().groups()) {
            if (group.state() != TaskState.WAITING) {
                continue;
            }
            for (TaskRow task : world.tasks().group(group)) {
                boolean advised =
                        world.jobs()
                                .find(task.key().jobId())
                                .filter(j -> j.policy().needsPlacementToken())
                                .isPresent();
                if (advised && !task.uncertain() && ask(tick, task)) {
                    return;
                }
            }
        }
    }

    private static boolean ask(SchedulerTick tick, TaskRow task) {
        SchedulerWorld world = tick.world();
        StepKey step = task.key().stepKey();
        AdviceRow known = world.advice().find(step).orElse(null);
        boolean fresh = known != null && known.validUntilMs() > tick.nowMs();
        List<String> executors = new ArrayList<>();
        for (ExecutorRow row : world.executors().group(task.pool())) {
            boolean open = !fresh || !known.requested().contains(row.id());
            if (open && executors.size() < MAX_ASKED && FreeCapacity.acceptsRuns(tick, row)) {
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

    /** Returns the permission to run a step on an executor, or empty if there is none. */
    static Optional<String> placementToken(SchedulerTick tick, StepKey step, String executor) {
        return tick.world()
                .advice()
                .find(step)
                .filter(a -> a.validUntilMs() > tick.nowMs())
                .map(a -> a.tokens().get(executor));
    }
}
