package org.hibiscususher.standin.matrix;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.stream.Stream;
import org.hibiscususher.core.message.ExecutionStatus;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.standin.virtual.ProcessState;
import org.hibiscususher.standin.virtual.VirtualRequest;
import org.hibiscususher.standin.virtual.VirtualSite;

/**
 * The callers of a fault scenario. A random running entry gets a request each interval: of all
 * teams, short and long, idempotent or not, one of twenty with an unknown key. Some carry an
 * idempotency key; these are resent when their outcome is unknown.
 */
final class ScenarioLoad {
    private static final long CALL_INTERVAL_MS = 20;
    private static final long RESEND_INTERVAL_MS = 50;

    /**
     * How long a request is kept for the checks. After half of it an open request is not watched
     * any longer for a resend.
     */
    private static final long RETENTION_MS = 8_000;

    private final VirtualSite mSite;
    private final Random mRandom;
    private final List<VirtualRequest> mRecent = new ArrayList<>();
    private boolean mRunning;

    ScenarioLoad(VirtualSite site, Random random) {
        mSite = site;
        mRandom = random;
    }

    /** Starts sending requests. */
    void start() {
        mRunning = true;
        callPeriodically();
    }

    /** Stops sending requests. */
    void stop() {
        mRunning = false;
    }

    /** Discards requests that arrived longer ago than the retention. */
    void discardOld() {
        mRecent.removeIf(r -> mSite.nowMs() - r.arrivedMs() > RETENTION_MS);
    }

    private Stream<String> runningEntries() {
        return mSite.entries().keySet().stream()
                .filter(e -> mSite.entries().get(e).processState() == ProcessState.RUNNING);
    }

    private void callPeriodically() {
        if (mRunning) {
            List<String> running = runningEntries().sorted().toList();
            if (!running.isEmpty()) {
                String entry = running.get(mRandom.nextInt(running.size()));
                int choice = mRandom.nextInt(20);
                call(
                        entry,
                        choice == 0
                                ? FaultScenario.UNKNOWN_TEAM
                                : FaultScenario.TEAMS.get(choice % FaultScenario.TEAMS.size()));
            }
        }
        mSite.clock().after(CALL_INTERVAL_MS, this::callPeriodically);
    }

    /** Sends a request with random run time, idempotence and idempotency key. */
    void call(String entry, String team) {
        boolean slow = mRandom.nextInt(6) == 0;
        int runMs = slow ? 200 + mRandom.nextInt(400) : 10 + mRandom.nextInt(80);
        boolean idempotent = mRandom.nextInt(5) < 3;
        String key = idempotent || mRandom.nextBoolean() ? "" : uuid();
        send(entry, slow ? "reports" : "lookups", team, runMs, idempotent, key);
    }

    private void send(
            String entry, String queue, String team, int runMs, boolean idempotent, String key) {
        VirtualRequest request = mSite.sendRequest(entry, queue, team, runMs, idempotent, key);
        mRecent.add(request);
        if (!key.isEmpty()) {
            mSite.clock()
                    .after(
                            RESEND_INTERVAL_MS,
                            () -> resendIfUnknown(request, queue, RESEND_INTERVAL_MS));
        }
    }

    /**
     * Resends a request with an idempotency key, at most once, if its outcome is unknown; checks
     * again later if the request has not ended.
     */
    private void resendIfUnknown(VirtualRequest request, String queue, long waitedMs) {
        boolean unknown =
                request.isCancelled()
                        || request.isTruncated()
                        || request.refusal()
                                .map(f -> f.executionStatus() == ExecutionStatus.MAY_HAVE_RUN)
                                .orElse(false);
        boolean duplicate = request.refusal().filter(Refusal.DUPLICATE::equals).isPresent();
        if (unknown && !duplicate) {
            List<String> running =
                    runningEntries().filter(e -> !e.equals(request.entry())).toList();
            if (!running.isEmpty()) {
                VirtualRequest resent =
                        mSite.sendRequest(
                                running.get(mRandom.nextInt(running.size())),
                                queue,
                                request.team(),
                                request.runMs(),
                                false,
                                request.arrival().idempotencyKey());
                mRecent.add(resent);
            }
        } else if (!request.isFinished() && waitedMs < RETENTION_MS / 2) {
            mSite.clock()
                    .after(
                            RESEND_INTERVAL_MS,
                            () -> resendIfUnknown(request, queue, waitedMs + RESEND_INTERVAL_MS));
        }
    }

    /** Returns a version 7 UUID with the virtual time as its timestamp. */
    private String uuid() {
        long high = mSite.nowMs() << 16 | 0x7000L | mRandom.nextInt(1 << 12);
        long low = 0x8000_0000_0000_0000L | mRandom.nextLong() >>> 2;
        return new UUID(high, low).toString();
    }

    /** Returns the requests that have not been discarded, resent ones included. */
    Stream<VirtualRequest> recent() {
        return mRecent.stream();
    }
}
