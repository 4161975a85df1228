package org.hibiscususher.wire.peer;

import java.io.IOException;
import org.hibiscususher.core.message.IdempotencyClaimResult;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.wire.generated.Peer;

/** Translates the items about idempotency keys. */
final class IdempotencyItemCodec {
    private IdempotencyItemCodec() {}

    /** Encodes an item, or returns false if it is of another kind. */
    static boolean encode(PeerItem item, Peer.PeerItem.Builder builder) {
        if (item instanceof PeerItem.IdempotencyClaim asked) {
            builder.getOnceAskedBuilder()
                    .setRequestId(asked.requestId())
                    .setHigh(asked.high())
                    .setLow(asked.low())
                    .setAskedMs(asked.sentMs());
        } else if (item instanceof PeerItem.IdempotencyClaimReply answered) {
            builder.getOnceAnsweredBuilder()
                    .setIncarnation(answered.incarnation())
                    .setRequestId(answered.requestId())
                    .setHigh(answered.high())
                    .setLow(answered.low())
                    .setResult(answered.result().ordinal());
        } else if (item instanceof PeerItem.IdempotencyRelease released) {
            builder.getOnceReleasedBuilder()
                    .setRequestId(released.requestId())
                    .setHigh(released.high())
                    .setLow(released.low());
        } else if (item instanceof PeerItem.IdempotencyReleaseAck forgotten) {
            builder.getOnceForgottenBuilder()
                    .setIncarnation(forgotten.incarnation())
                    .setRequestId(forgotten.requestId());
        } else {
            return false;
        }
        return true;
    }

    /**
     * Returns the item that a message stands for.
     *
     * @throws IOException if it is of another kind
     */
    static PeerItem decode(Peer.PeerItem item) throws IOException {
        return switch (item.getItemCase()) {
            case ONCE_ASKED ->
                    new PeerItem.IdempotencyClaim(
                            item.getOnceAsked().getRequestId(),
                            item.getOnceAsked().getHigh(),
                            item.getOnceAsked().getLow(),
                            item.getOnceAsked().getAskedMs());
            case ONCE_ANSWERED ->
                    new PeerItem.IdempotencyClaimReply(
                            item.getOnceAnswered().getIncarnation(),
                            item.getOnceAnswered().getRequestId(),
                            item.getOnceAnswered().getHigh(),
                            item.getOnceAnswered().getLow(),
                            IdempotencyClaimResult.values()[item.getOnceAnswered().getResult()]);
            case ONCE_RELEASED ->
                    new PeerItem.IdempotencyRelease(
                            item.getOnceReleased().getRequestId(),
                            item.getOnceReleased().getHigh(),
                            item.getOnceReleased().getLow());
            case ONCE_FORGOTTEN ->
                    new PeerItem.IdempotencyReleaseAck(
                            item.getOnceForgotten().getIncarnation(),
                            item.getOnceForgotten().getRequestId());
            default -> throw new IOException("unknown item in a message between entries");
        };
    }
}
