package org.hibiscususher.wire.peer;

import java.io.IOException;
import org.hibiscususher.core.message.ClaimResult;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.wire.generated.Peer;

/** Translates the items about idempotency keys. */
final class IdempotencyItemCodec {
    private IdempotencyItemCodec() {}

    /** Encodes an item, or returns false if it is of another kind. */
    static boolean encode(PeerItem item, Peer.PeerItem.Builder builder) {
        if (item instanceof PeerItem.OnceAsked asked) {
            builder.getOnceAskedBuilder()
                    .setRequestId(asked.requestId())
                    .setHigh(asked.high())
                    .setLow(asked.low())
                    .setAskedMs(asked.askedMs());
        } else if (item instanceof PeerItem.OnceAnswered answered) {
            builder.getOnceAnsweredBuilder()
                    .setIncarnation(answered.incarnation())
                    .setRequestId(answered.requestId())
                    .setHigh(answered.high())
                    .setLow(answered.low())
                    .setResult(answered.result().ordinal());
        } else if (item instanceof PeerItem.OnceReleased released) {
            builder.getOnceReleasedBuilder()
                    .setRequestId(released.requestId())
                    .setHigh(released.high())
                    .setLow(released.low());
        } else if (item instanceof PeerItem.OnceForgotten forgotten) {
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
                    new PeerItem.OnceAsked(
                            item.getOnceAsked().getRequestId(),
                            item.getOnceAsked().getHigh(),
                            item.getOnceAsked().getLow(),
                            item.getOnceAsked().getAskedMs());
            case ONCE_ANSWERED ->
                    new PeerItem.OnceAnswered(
                            item.getOnceAnswered().getIncarnation(),
                            item.getOnceAnswered().getRequestId(),
                            item.getOnceAnswered().getHigh(),
                            item.getOnceAnswered().getLow(),
                            ClaimResult.values()[item.getOnceAnswered().getResult()]);
            case ONCE_RELEASED ->
                    new PeerItem.OnceReleased(
                            item.getOnceReleased().getRequestId(),
                            item.getOnceReleased().getHigh(),
                            item.getOnceReleased().getLow());
            case ONCE_FORGOTTEN ->
                    new PeerItem.OnceForgotten(
                            item.getOnceForgotten().getIncarnation(),
                            item.getOnceForgotten().getRequestId());
            default -> throw new IOException("unknown item in a message between entries");
        };
    }
}
