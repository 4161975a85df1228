package org.hibiscususher.wire.peer;

import java.io.IOException;
import org.hibiscususher.core.message.IdempotencyClaimResult;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.wire.generated.Peer;

/** Encodes the items about claims of idempotency keys as protobuf and decodes them. */
final class IdempotencyItemCodec {
    private IdempotencyItemCodec() {}

    /** Sets the item in the builder; returns false if it is not about idempotency keys. */
    static boolean encode(PeerItem item, Peer.PeerItem.Builder builder) {
        if (item instanceof PeerItem.IdempotencyClaim claim) {
            builder.getOnceAskedBuilder()
                    .setRequestId(claim.requestId())
                    .setHigh(claim.high())
                    .setLow(claim.low())
                    .setAskedMs(claim.sentMs());
        } else if (item instanceof PeerItem.IdempotencyClaimReply reply) {
            builder.getOnceAnsweredBuilder()
                    .setIncarnation(reply.incarnation())
                    .setRequestId(reply.requestId())
                    .setHigh(reply.high())
                    .setLow(reply.low())
                    .setResult(reply.result().ordinal());
        } else if (item instanceof PeerItem.IdempotencyRelease release) {
            builder.getOnceReleasedBuilder()
                    .setRequestId(release.requestId())
                    .setHigh(release.high())
                    .setLow(release.low());
        } else if (item instanceof PeerItem.IdempotencyReleaseAck ack) {
            builder.getOnceForgottenBuilder()
                    .setIncarnation(ack.incarnation())
                    .setRequestId(ack.requestId());
        } else {
            return false;
        }
        return true;
    }

    /**
     * Returns the item that protobuf encodes.
     *
     * @throws IOException if the item is not about idempotency keys
     * @throws IndexOutOfBoundsException if it has an enum ordinal that this build doesn't know
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
            default -> throw new IOException("unknown type of item in a message between entries");
        };
    }
}
