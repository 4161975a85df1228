package org.hibiscususher.core.request;

import org.hibiscususher.core.membership.PeerMessages;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.PeerItem.IdempotencyClaim;
import org.hibiscususher.core.message.PeerItem.IdempotencyClaimReply;
import org.hibiscususher.core.message.PeerItem.IdempotencyRelease;
import org.hibiscususher.core.message.PeerItem.IdempotencyReleaseAck;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.world.IdempotencyClaimStage;
import org.hibiscususher.core.world.Tick;

/**
 * Lets a request with an idempotency key run only if the key is known to be new.
 *
 * <p>A caller that got no answer may send the same request again, possibly to another entry. For
 * each key, one entry, its coordinator, therefore decides which request may run; the entry that
 * admitted a request claims the key there first.
 */
public final class IdempotencySystem {
    private IdempotencySystem() {}

    /**
     * Answers claims as the coordinator of keys, and advances the claims of this entry's requests.
     */
    public static void run(Tick tick) {
        IdempotencyKeyCoordinator.run(tick);
        for (PeerMessage message : PeerMessages.accepted(tick)) {
            for (PeerItem item : message.items()) {
                handle(tick, message, item);
            }
        }
        IdempotencyKeyClaims.run(tick);
    }

    private static void handle(Tick tick, PeerMessage message, PeerItem item) {
        if (item instanceof IdempotencyClaim claim) {
            IdempotencyKeyCoordinator.onClaim(tick, message, claim);
        } else if (item instanceof IdempotencyRelease release) {
            IdempotencyKeyCoordinator.onRelease(tick, message, release);
        } else if (item instanceof IdempotencyClaimReply reply) {
            IdempotencyKeyClaims.onResult(tick, reply);
        } else if (item instanceof IdempotencyReleaseAck ack) {
            onReleaseAcknowledged(tick, ack);
        }
    }

    private static void onReleaseAcknowledged(Tick tick, IdempotencyReleaseAck ack) {
        if (ack.incarnation() == tick.world().node().identity().incarnation()) {
            tick.world()
                    .idempotencyClaims()
                    .find(ack.requestId())
                    .filter(c -> c.stage() == IdempotencyClaimStage.RELEASING)
                    .ifPresent(c -> tick.world().idempotencyClaims().remove(c.requestId()));
        }
    }
}
