package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.PermitKey;

/**
 * A request at hand.
 *
 * @param arrival what the caller sent
 * @param team the team under which it runs
 * @param pool the pool that it runs in
 * @param kind the kind of its queue
 * @param runLimitMs longest run, in milliseconds
 * @param arrivedMs when it arrived, in milliseconds of the caller's clock
 * @param startByMs when it must have started
 * @param state where it stands
 * @param attempt number of the current attempt, 0 before the first
 * @param startedMs when the current attempt started, -1 before the first
 * @param mayHaveRun whether an earlier attempt may have run
 * @param triedHosts hosts that were tried, in order
 * @param permits permits that the current attempt uses
 */
public record RequestRow(
        RequestArrived arrival,
        String team,
        String pool,
        QueueKind kind,
        int runLimitMs,
        long arrivedMs,
        long startByMs,
        RequestState state,
        int attempt,
        long startedMs,
        boolean mayHaveRun,
        List<String> triedHosts,
        List<PermitKey> permits) {
    /** Copies the lists. */
    public RequestRow {
        requireNonNull(arrival);
        requireNonNull(team);
        requireNonNull(pool);
        requireNonNull(kind);
        requireNonNull(state);
        triedHosts = List.copyOf(triedHosts);
        permits = List.copyOf(permits);
    }

    /** Returns the request's id. */
    public long id() {
        return arrival.requestId();
    }

    /** Returns the requests with which it competes for permits, or shares them. */
    public SchedulingClass schedulingClass() {
        return new SchedulingClass(state, kind, pool, team);
    }

    /** Returns a copy that runs a further attempt on a host. */
    public RequestRow withAttempt(long nowMs, String host, List<PermitKey> using) {
        List<String> tried = new ArrayList<>(triedHosts);
        tried.add(host);
        return new RequestRow(
                arrival,
                team,
                pool,
                kind,
                runLimitMs,
                arrivedMs,
                startByMs,
                RequestState.RUNNING,
                attempt + 1,
                nowMs,
                mayHaveRun,
                tried,
                using);
    }

    /** Returns a copy in another state that uses the given permits. */
    public RequestRow withState(RequestState value, List<PermitKey> using) {
        return new RequestRow(
                arrival,
                team,
                pool,
                kind,
                runLimitMs,
                arrivedMs,
                startByMs,
                value,
                attempt,
                startedMs,
                mayHaveRun,
                triedHosts,
                using);
    }

    /** Returns a copy whose idempotency key was found to be new. */
    public RequestRow withKeyClaimed() {
        return withState(RequestState.WAITING, List.of());
    }

    /** Returns a copy that waits for a further attempt. */
    public RequestRow requeued(boolean ranPerhaps) {
        return new RequestRow(
                arrival,
                team,
                pool,
                kind,
                runLimitMs,
                arrivedMs,
                startByMs,
                RequestState.WAITING,
                attempt,
                startedMs,
                mayHaveRun || ranPerhaps,
                triedHosts,
                List.of());
    }

    /** Returns a copy that is admitted to a queue for a team. */
    public RequestRow admittedTo(QueueSpec queue, String forTeam) {
        return new RequestRow(
                arrival,
                forTeam,
                queue.pool(),
                queue.kind(),
                queue.runLimitMs(),
                arrivedMs,
                startByMs,
                state,
                attempt,
                startedMs,
                mayHaveRun,
                triedHosts,
                permits);
    }

    /** Returns the host of the current attempt, or an empty string before the first. */
    public String host() {
        return triedHosts.isEmpty() ? "" : triedHosts.get(triedHosts.size() - 1);
    }
}
