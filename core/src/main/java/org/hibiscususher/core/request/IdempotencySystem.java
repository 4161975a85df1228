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

/** Lets a non-idempotent request run only if its idempotency key is known to be new. */
public final class IdempotencySystem {
    private IdempotencySystem() {}

    /** Answers claims as a home, and carries on the claims of requests at hand. */
    public static void run(Tick tick) {
        IdempotencyKeyCoordinator.run(tick);
        for (PeerMessage message : PeerMessages.accepted(tick)) {
            for (PeerItem item : message.items()) {
                take(tick, message, item);
            }
        }
        IdempotencyKeyClaims.run(tick);
    }

    private static void take(Tick tick, PeerMessage message, PeerItem item) {
        if (item instanceof IdempotencyClaim asked) {
            IdempotencyKeyCoordinator.onClaim(tick, message, asked);
        } else if (item instanceof IdempotencyRelease released) {
            IdempotencyKeyCoordinator.onRelease(tick, message, released);
        } else if (item instanceof IdempotencyClaimReply answered) {
            IdempotencyKeyClaims.onResult(tick, answered);
        } else if (item instanceof IdempotencyReleaseAck forgotten) {
            forgotten(tick, forgotten);
        }
    }

    private static void forgotten(Tick tick, IdempotencyReleaseAck forgotten) {
        if (forgotten.incarnation() == tick.world().node().identity().incarnation()) {
            tick.world()
                    .idempotencyClaims()
                    .find(forgotten.requestId())
                    .filter(c -> c.stage() == IdempotencyClaimStage.RELEASING)
                    .ifPresent(c -> tick.world().idempotencyClaims().remove(c.requestId()));
        }
    }
}
