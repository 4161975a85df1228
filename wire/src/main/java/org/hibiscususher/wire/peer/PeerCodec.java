package org.hibiscususher.wire.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.wire.generated.Peer;
import org.hibiscususher.wire.json.RecordCodec;

/** Translates messages between entries to protobuf bytes and back. Thread-safe. */
public final class PeerCodec {
    private PeerCodec() {}

    /** Returns the message as protobuf. */
    public static byte[] encode(PeerMessage message) {
        Peer.PeerMessage.Builder builder =
                Peer.PeerMessage.newBuilder()
                        .setFrom(message.from())
                        .setIncarnation(message.incarnation())
                        .setToIncarnation(message.toIncarnation())
                        .setSequence(message.sequence())
                        .setAcknowledged(message.acknowledged())
                        .setEpoch(message.epoch())
                        .setRevision(message.revision())
                        .setStoreAgeMs(message.storeAgeMs())
                        .setFreshAgeMs(message.freshAgeMs())
                        .setKnownRevision(message.knownRevision());
        for (PeerItem item : message.items()) {
            builder.addItems(encodeItem(item));
        }
        return builder.build().toByteArray();
    }

    /**
     * Returns the message that the bytes stand for.
     *
     * @throws IOException if they stand for none
     */
    public static PeerMessage decode(byte[] bytes) throws IOException {
        try {
            Peer.PeerMessage message = Peer.PeerMessage.parseFrom(bytes);
            List<PeerItem> items = new ArrayList<>();
            for (Peer.PeerItem item : message.getItemsList()) {
                items.add(decodeItem(item));
            }
            return new PeerMessage(
                    message.getFrom(),
                    message.getIncarnation(),
                    message.getToIncarnation(),
                    message.getSequence(),
                    message.getAcknowledged(),
                    message.getEpoch(),
                    message.getRevision(),
                    message.getStoreAgeMs(),
                    message.getFreshAgeMs(),
                    message.getKnownRevision(),
                    items);
        } catch (InvalidProtocolBufferException | IndexOutOfBoundsException e) {
            throw new IOException("malformed message between entries", e);
        }
    }

    private static Peer.PeerItem encodeItem(PeerItem item) {
        Peer.PeerItem.Builder builder = Peer.PeerItem.newBuilder();
        if (item instanceof PeerItem.Relay relay) {
            builder.getRelayBuilder()
                    .setNotes(ByteString.copyFrom(RecordCodec.encodeNotes(relay.notes())));
        } else {
            EscrowCodec.encode(item, builder);
        }
        return builder.build();
    }

    private static PeerItem decodeItem(Peer.PeerItem item) throws IOException {
        return switch (item.getItemCase()) {
            case RELAY ->
                    new PeerItem.Relay(
                            RecordCodec.decodeNotes(item.getRelay().getNotes().toByteArray()));
            default -> EscrowCodec.decode(item);
        };
    }
}
