package org.hibiscususher.core.request;

import java.util.Optional;
import org.hibiscususher.core.membership.RendezvousHash;
import org.hibiscususher.core.message.ClaimResult;
import org.hibiscususher.core.message.PeerItem.OnceAnswered;
import org.hibiscususher.core.message.PeerItem.OnceAsked;
import org.hibiscususher.core.message.PeerItem.OnceReleased;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.world.NodeIdentity;
import org.hibiscususher.core.world.OnceClaimRow;
import org.hibiscususher.core.world.OnceClaimStage;
import org.hibiscususher.core.world.OnceKey;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** The claims of requests at hand to their idempotency keys: asks, takes answers, gives back. */
final class IdempotencyKeyClaims {
    private static final int REPEAT_MS = 100;
    private static final int ASK_LIMIT_MS = 1_000;
    private static final int RELEASE_LIMIT_MS = 3_000;

    private IdempotencyKeyClaims() {}

    /** Opens the claim of a request that was admitted. */
    static void open(Tick tick, RequestRow row) {
        OnceKey key = OnceKey.parse(row.arrival().idempotencyKey()).orElseThrow();
        OnceClaimRow claim =
                new OnceClaimRow(row.id(), key, OnceClaimStage.ASKING, tick.nowMs(), -1);
        tick.world().onceClaims().put(row.id(), claim);
    }

    /** Ends the claim of a request, if it has one; gives the key back if nothing ran. */
    static void close(Tick tick, long requestId, boolean mayHaveRun) {
        if (mayHaveRun) {
            tick.world().onceClaims().remove(requestId);
        } else {
            tick.world()
                    .onceClaims()
                    .update(requestId, c -> c.withStage(OnceClaimStage.RELEASING, tick.nowMs()));
        }
    }

    /** Tells the homes what they have not answered yet, and gives up what takes too long. */
    static void run(Tick tick) {
        if (tick.world().onceClaims().size() == 0) {
            return;
        }
        for (OnceClaimRow claim : tick.world().onceClaims().rows()) {
            if (!claim.stage().talks()) {
                continue;
            }
            if (isOverdue(tick, claim)) {
                giveUp(tick, claim);
            } else if (claim.sentMs() < 0 || tick.nowMs() - claim.sentMs() >= REPEAT_MS) {
                tick.world().onceClaims().put(claim.requestId(), claim.withSent(tick.nowMs()));
                talk(tick, claim);
            }
        }
    }

    private static boolean isOverdue(Tick tick, OnceClaimRow claim) {
        long ageMs = tick.nowMs() - claim.sinceMs();
        return ageMs >= (claim.stage() == OnceClaimStage.ASKING ? ASK_LIMIT_MS : RELEASE_LIMIT_MS);
    }

    private static void giveUp(Tick tick, OnceClaimRow claim) {
        if (claim.stage() == OnceClaimStage.ASKING) {
            tick.count("once.home-silent");
            rowOf(tick, claim).ifPresent(r -> Refusals.refuse(tick, r, Refusal.ID_NOT_VOUCHED));
        } else {
            tick.count("once.release-unanswered");
            tick.world().onceClaims().remove(claim.requestId());
        }
    }

    private static Optional<RequestRow> rowOf(Tick tick, OnceClaimRow claim) {
        return tick.world()
                .requests()
                .find(claim.requestId())
                .filter(r -> r.state() == RequestState.CLAIMING);
    }

    private static void talk(Tick tick, OnceClaimRow claim) {
        World world = tick.world();
        OnceKey key = claim.key();
        NodeIdentity self = world.node().identity();
        Optional<String> home = RendezvousHash.choose(key.homeName(), world.membership().record());
        if (home.isEmpty()) {
            return;
        }
        boolean asking = claim.stage() == OnceClaimStage.ASKING;
        long id = claim.requestId();
        if (!home.get().equals(self.id())) {
            tick.tell(
                    home.get(),
                    asking
                            ? new OnceAsked(id, key.high(), key.low(), tick.nowMs())
                            : new OnceReleased(id, key.high(), key.low()));
        } else if (asking) {
            IdempotencyKeyCoordinator.claim(tick, key, self.id(), self.incarnation(), id)
                    .ifPresent(r -> settle(tick, claim, r));
        } else {
            IdempotencyKeyCoordinator.release(tick, key, self.id(), self.incarnation(), id);
            world.onceClaims().remove(id);
        }
    }

    /** Takes the answer of a home. */
    static void onResult(Tick tick, OnceAnswered answer) {
        NodeIdentity self = tick.world().node().identity();
        if (answer.incarnation() != self.incarnation()) {
            return;
        }
        tick.world()
                .onceClaims()
                .find(answer.requestId())
                .filter(c -> c.stage() == OnceClaimStage.ASKING)
                .filter(c -> c.key().high() == answer.high() && c.key().low() == answer.low())
                .ifPresent(c -> settle(tick, c, answer.result()));
    }

    private static void settle(Tick tick, OnceClaimRow claim, ClaimResult result) {
        Optional<RequestRow> row = rowOf(tick, claim);
        if (result.refusal().isPresent()) {
            tick.world().onceClaims().remove(claim.requestId());
            row.ifPresent(r -> Refusals.refuse(tick, r, result.refusal().get()));
        } else {
            tick.world()
                    .onceClaims()
                    .put(claim.requestId(), claim.withStage(OnceClaimStage.HELD, tick.nowMs()));
            row.ifPresent(r -> tick.world().requests().put(r.id(), r.claimed()));
        }
    }
}
