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

/**
 * The claims of this entry's requests to their idempotency keys.
 *
 * <p>A message to a key's coordinator may be lost, and the coordinator may change. A claim or a
 * release is therefore sent again, to the present coordinator, until it is answered or times out.
 */
final class IdempotencyKeyClaims {
    /** Time between two messages about the same claim, in milliseconds. */
    private static final int RESEND_INTERVAL_MS = 100;

    /** Time after which a request whose claim was not answered is refused, in milliseconds. */
    private static final int CLAIM_TIMEOUT_MS = 1_000;

    /** Time after which an unacknowledged release is abandoned, in milliseconds. */
    private static final int RELEASE_TIMEOUT_MS = 3_000;

    private IdempotencyKeyClaims() {}

    /** Opens the claim of a request that has just been admitted; its key must be well-formed. */
    static void open(Tick tick, RequestRow row) {
        IdempotencyKey key = IdempotencyKey.parse(row.arrival().idempotencyKey()).orElseThrow();
        IdempotencyClaimRow claim =
                new IdempotencyClaimRow(
                        row.id(), key, IdempotencyClaimStage.ASKING, tick.nowMs(), -1);
        tick.world().idempotencyClaims().put(row.id(), claim);
    }

    /**
     * Ends the claim of a request, if it has one.
     *
     * @param mayHaveRun whether the request may have run; only if not, its key is released, so that
     *     the caller can send the request again under the same key
     */
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

    /** Sends claims and releases that are not answered yet, and abandons those that time out. */
    static void run(Tick tick) {
        if (tick.world().idempotencyClaims().size() == 0) {
            return;
        }
        for (IdempotencyClaimRow claim : tick.world().idempotencyClaims().rows()) {
            if (!claim.stage().awaitsReply()) {
                continue;
            }
            if (isTimedOut(tick, claim)) {
                abandon(tick, claim);
            } else if (claim.sentMs() < 0 || tick.nowMs() - claim.sentMs() >= RESEND_INTERVAL_MS) {
                tick.world()
                        .idempotencyClaims()
                        .put(claim.requestId(), claim.withSent(tick.nowMs()));
                sendToCoordinator(tick, claim);
            }
        }
    }

    private static boolean isTimedOut(Tick tick, IdempotencyClaimRow claim) {
        long ageMs = tick.nowMs() - claim.sinceMs();
        return ageMs
                >= (claim.stage() == IdempotencyClaimStage.ASKING
                        ? CLAIM_TIMEOUT_MS
                        : RELEASE_TIMEOUT_MS);
    }

    private static void abandon(Tick tick, IdempotencyClaimRow claim) {
        if (claim.stage() == IdempotencyClaimStage.ASKING) {
            tick.count("once.home-silent");
            findClaimingRequest(tick, claim)
                    .ifPresent(r -> Refusals.refuse(tick, r, Refusal.ID_NOT_VOUCHED));
        } else {
            tick.count("once.release-unanswered");
            tick.world().idempotencyClaims().remove(claim.requestId());
        }
    }

    private static Optional<RequestRow> findClaimingRequest(Tick tick, IdempotencyClaimRow claim) {
        return tick.world()
                .requests()
                .find(claim.requestId())
                .filter(r -> r.state() == RequestState.CLAIMING);
    }

    private static void sendToCoordinator(Tick tick, IdempotencyClaimRow claim) {
        World world = tick.world();
        IdempotencyKey key = claim.key();
        NodeIdentity self = world.node().identity();
        Optional<String> coordinator =
                RendezvousHash.choose(key.hashedName(), world.membership().record());
        if (coordinator.isEmpty()) {
            return;
        }
        boolean isClaim = claim.stage() == IdempotencyClaimStage.ASKING;
        long id = claim.requestId();
        if (!coordinator.get().equals(self.id())) {
            tick.send(
                    coordinator.get(),
                    isClaim
                            ? new IdempotencyClaim(id, key.high(), key.low(), tick.nowMs())
                            : new IdempotencyRelease(id, key.high(), key.low()));
        } else if (isClaim) {
            IdempotencyKeyCoordinator.claim(tick, key, self.id(), self.incarnation(), id)
                    .ifPresent(r -> applyResult(tick, claim, r));
        } else {
            IdempotencyKeyCoordinator.release(tick, key, self.id(), self.incarnation(), id);
            world.idempotencyClaims().remove(id);
        }
    }

    /** Applies a coordinator's answer to a claim; answers to an earlier incarnation are ignored. */
    static void onResult(Tick tick, IdempotencyClaimReply reply) {
        NodeIdentity self = tick.world().node().identity();
        if (reply.incarnation() != self.incarnation()) {
            return;
        }
        tick.world()
                .idempotencyClaims()
                .find(reply.requestId())
                .filter(c -> c.stage() == IdempotencyClaimStage.ASKING)
                .filter(c -> c.key().high() == reply.high() && c.key().low() == reply.low())
                .ifPresent(c -> applyResult(tick, c, reply.result()));
    }

    private static void applyResult(
            Tick tick, IdempotencyClaimRow claim, IdempotencyClaimResult result) {
        Optional<RequestRow> row = findClaimingRequest(tick, claim);
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
