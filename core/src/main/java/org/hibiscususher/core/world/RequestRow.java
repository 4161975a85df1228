package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.PermitKey;

/**
 * An open request.
 *
 * @param arrival the request as it arrived
 * @param team the team to which it is charged
 * @param pool the pool in which it runs
 * @param kind the kind of its queue
 * @param runLimitMs longest time that its caller waits for a response to begin, in milliseconds
 * @param arrivedMs when it arrived, in milliseconds of the tick clock
 * @param startByMs time on the tick clock at which it is refused if it is still waiting, in
 *     milliseconds
 * @param state what it waits for
 * @param attempt number of the current attempt, 0 before the first
 * @param startedMs when the current attempt started, in milliseconds, -1 before the first
 * @param mayHaveRun whether a target may have run an earlier attempt
 * @param triedHosts hosts of all attempts, in order
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
    /** Rejects null components and makes defensive copies of the lists. */
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

    /** Returns the class of requests with which it competes for permits. */
    public SchedulingClass schedulingClass() {
        return new SchedulingClass(state, kind, pool, team);
    }

    /** Returns a copy that runs another attempt on a host. */
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

    /** Returns a copy whose idempotency key was granted and that now waits for permits. */
    public RequestRow withKeyClaimed() {
        return withState(RequestState.WAITING, List.of());
    }

    /** Returns a copy that waits for another attempt and uses no permits. */
    public RequestRow requeued(boolean attemptMayHaveRun) {
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
                mayHaveRun || attemptMayHaveRun,
                triedHosts,
                List.of());
    }

    /** Returns a copy that belongs to a queue and is charged to a team. */
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
