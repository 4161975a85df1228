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

/** The callers of a scene: requests of all teams, some sent again when their outcome is unknown. */
final class SceneLoad {
    private static final long CALL_EVERY_MS = 20;
    private static final long RESEND_MS = 50;
    private static final long RECENT_MS = 8_000;

    private final VirtualSite mSite;
    private final Random mRandom;
    private final List<VirtualRequest> mRecent = new ArrayList<>();
    private boolean mLoaded;

    SceneLoad(VirtualSite site, Random random) {
        mSite = site;
        mRandom = random;
    }

    /** Begins to call. */
    void start() {
        mLoaded = true;
        callOften();
    }

    /** Ends the calls. */
    void stop() {
        mLoaded = false;
    }

    /** Forgets requests that came long ago. */
    void forgetOld() {
        mRecent.removeIf(r -> mSite.nowMs() - r.arrivedMs() > RECENT_MS);
    }

    private Stream<String> alive() {
        return mSite.entries().keySet().stream()
                .filter(e -> mSite.entries().get(e).processState() == ProcessState.RUNNING);
    }

    private void callOften() {
        if (mLoaded) {
            List<String> alive = alive().sorted().toList();
            if (!alive.isEmpty()) {
                String entry = alive.get(mRandom.nextInt(alive.size()));
                int dice = mRandom.nextInt(20);
                call(
                        entry,
                        dice == 0 ? Scene.STRANGER : Scene.TEAMS.get(dice % Scene.TEAMS.size()));
            }
        }
        mSite.clock().after(CALL_EVERY_MS, this::callOften);
    }

    void call(String entry, String team) {
        boolean slow = mRandom.nextInt(6) == 0;
        int runMs = slow ? 200 + mRandom.nextInt(400) : 10 + mRandom.nextInt(80);
        boolean idempotent = mRandom.nextInt(5) < 3;
        String id = idempotent || mRandom.nextBoolean() ? "" : uuid();
        send(entry, slow ? "reports" : "lookups", team, runMs, idempotent, id);
    }

    private void send(
            String entry, String queue, String team, int runMs, boolean idempotent, String id) {
        VirtualRequest request = mSite.sendRequest(entry, queue, team, runMs, idempotent, id);
        mRecent.add(request);
        if (!id.isEmpty()) {
            mSite.clock().after(RESEND_MS, () -> sendAgain(request, queue, RESEND_MS));
        }
    }

    /** Sends a request with an idempotency key again, once, when its outcome is not known. */
    private void sendAgain(VirtualRequest request, String queue, long waitedMs) {
        boolean unknown =
                request.isCancelled()
                        || request.isTruncated()
                        || request.refusal()
                                .map(f -> f.executionStatus() == ExecutionStatus.MAY_HAVE_RUN)
                                .orElse(false);
        boolean duplicate = request.refusal().filter(Refusal.DUPLICATE::equals).isPresent();
        if (unknown && !duplicate) {
            List<String> alive = alive().filter(e -> !e.equals(request.entry())).toList();
            if (!alive.isEmpty()) {
                VirtualRequest again =
                        mSite.sendRequest(
                                alive.get(mRandom.nextInt(alive.size())),
                                queue,
                                request.team(),
                                request.runMs(),
                                false,
                                request.arrival().idempotencyKey());
                mRecent.add(again);
            }
        } else if (!request.isFinished() && waitedMs < RECENT_MS / 2) {
            mSite.clock().after(RESEND_MS, () -> sendAgain(request, queue, waitedMs + RESEND_MS));
        }
    }

    /** Returns a version 7 UUID of the virtual time. */
    private String uuid() {
        long high = mSite.nowMs() << 16 | 0x7000L | mRandom.nextInt(1 << 12);
        long low = 0x8000_0000_0000_0000L | mRandom.nextLong() >>> 2;
        return new UUID(high, low).toString();
    }

    Stream<VirtualRequest> recent() {
        return mRecent.stream();
    }
}
