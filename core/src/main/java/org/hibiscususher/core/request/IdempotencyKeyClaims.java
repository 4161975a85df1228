package org.hibiscususher.core.request;

import java.util.Optional;
import org.hibiscususher.core.membership.RendezvousHash;
import org.hibiscususher.core.message.IdempotencyClaimResult;
import org.hibiscususher.core.message.PeerItem.IdempotencyClaim;
import org.hibiscususher.core.message.PeerItem.IdempotencyClaimReply;
import org.hibiscususher.core.message.PeerItem.IdempotencyRelease;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.world.IdempotencyClaimRow;
import org.hibiscususher.core.world.IdempotencyClaimStage;
import org.hibiscususher.core.world.IdempotencyKey;
import org.hibiscususher.core.world.NodeIdentity;
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
        IdempotencyKey key = IdempotencyKey.parse(row.arrival().idempotencyKey()).orElseThrow();
        IdempotencyClaimRow claim =
                new IdempotencyClaimRow(
                        row.id(), key, IdempotencyClaimStage.ASKING, tick.nowMs(), -1);
        tick.world().idempotencyClaims().put(row.id(), claim);
    }

    /** Ends the claim of a request, if it has one; gives the key back if nothing ran. */
    static void close(Tick tick, long requestId, boolean mayHaveRun) {
        if (mayHaveRun) {
            tick.world().idempotencyClaims().remove(requestId);
        } else {
            tick.world()
                    .idempotencyClaims()
                    .update(
                            requestId,
                            c -> c.withStage(IdempotencyClaimStage.RELEASING, tick.nowMs()));
        }
    }

    /** Tells the homes what they have not answered yet, and gives up what takes too long. */
    static void run(Tick tick) {
        if (tick.world().idempotencyClaims().size() == 0) {
            return;
        }
        for (IdempotencyClaimRow claim : tick.world().idempotencyClaims().rows()) {
            if (!claim.stage().awaitsReply()) {
                continue;
            }
            if (isOverdue(tick, claim)) {
                giveUp(tick, claim);
            } else if (claim.sentMs() < 0 || tick.nowMs() - claim.sentMs() >= REPEAT_MS) {
                tick.world()
                        .idempotencyClaims()
                        .put(claim.requestId(), claim.withSent(tick.nowMs()));
                talk(tick, claim);
            }
        }
    }

    private static boolean isOverdue(Tick tick, IdempotencyClaimRow claim) {
        long ageMs = tick.nowMs() - claim.sinceMs();
        return ageMs
                >= (claim.stage() == IdempotencyClaimStage.ASKING
                        ? ASK_LIMIT_MS
                        : RELEASE_LIMIT_MS);
    }

    private static void giveUp(Tick tick, IdempotencyClaimRow claim) {
        if (claim.stage() == IdempotencyClaimStage.ASKING) {
            tick.count("once.home-silent");
            rowOf(tick, claim).ifPresent(r -> Refusals.refuse(tick, r, Refusal.ID_NOT_VOUCHED));
        } else {
            tick.count("once.release-unanswered");
            tick.world().idempotencyClaims().remove(claim.requestId());
        }
    }

    private static Optional<RequestRow> rowOf(Tick tick, IdempotencyClaimRow claim) {
        return tick.world()
                .requests()
                .find(claim.requestId())
                .filter(r -> r.state() == RequestState.CLAIMING);
    }

    private static void talk(Tick tick, IdempotencyClaimRow claim) {
        World world = tick.world();
        IdempotencyKey key = claim.key();
        NodeIdentity self = world.node().identity();
        Optional<String> home =
                RendezvousHash.choose(key.hashedName(), world.membership().record());
        if (home.isEmpty()) {
            return;
        }
        boolean asking = claim.stage() == IdempotencyClaimStage.ASKING;
        long id = claim.requestId();
        if (!home.get().equals(self.id())) {
            tick.send(
                    home.get(),
                    asking
                            ? new IdempotencyClaim(id, key.high(), key.low(), tick.nowMs())
                            : new IdempotencyRelease(id, key.high(), key.low()));
        } else if (asking) {
            IdempotencyKeyCoordinator.claim(tick, key, self.id(), self.incarnation(), id)
                    .ifPresent(r -> settle(tick, claim, r));
        } else {
            IdempotencyKeyCoordinator.release(tick, key, self.id(), self.incarnation(), id);
            world.idempotencyClaims().remove(id);
        }
    }

    /** Takes the answer of a home. */
    static void onResult(Tick tick, IdempotencyClaimReply answer) {
        NodeIdentity self = tick.world().node().identity();
        if (answer.incarnation() != self.incarnation()) {
            return;
        }
        tick.world()
                .idempotencyClaims()
                .find(answer.requestId())
                .filter(c -> c.stage() == IdempotencyClaimStage.ASKING)
                .filter(c -> c.key().high() == answer.high() && c.key().low() == answer.low())
                .ifPresent(c -> settle(tick, c, answer.result()));
    }

    private static void settle(
            Tick tick, IdempotencyClaimRow claim, IdempotencyClaimResult result) {
        Optional<RequestRow> row = rowOf(tick, claim);
        if (result.refusal().isPresent()) {
            tick.world().idempotencyClaims().remove(claim.requestId());
            row.ifPresent(r -> Refusals.refuse(tick, r, result.refusal().get()));
        } else {
            tick.world()
                    .idempotencyClaims()
                    .put(
                            claim.requestId(),
                            claim.withStage(IdempotencyClaimStage.HELD, tick.nowMs()));
            row.ifPresent(r -> tick.world().requests().put(r.id(), r.withKeyClaimed()));
        }
    }
}
