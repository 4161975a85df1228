package org.hibiscususher.wire.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.message.FleetRecord;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.wire.generated.Peer;
import org.hibiscususher.wire.json.RecordCodec;

/**
 * Encodes {@link PeerMessage} as protobuf and decodes it. Thread-safe.
 *
 * <p>Release notes and records about hosts are carried in the JSON of the platform's store.
 */
public final class PeerCodec {
    private PeerCodec() {}

    /** Returns the protobuf encoding of a message. */
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
     * Returns the message that protobuf bytes encode.
     *
     * @throws IOException if the bytes are malformed, or any item has a type or an enum ordinal
     *     that this build doesn't know
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
        if (item instanceof PeerItem.NoteRelay relay) {
            builder.getRelayBuilder()
                    .setNotes(ByteString.copyFrom(RecordCodec.encodeNotes(relay.notes())));
        } else if (item instanceof PeerItem.FleetRelay relay) {
            builder.getFleetRelayBuilder()
                    .setKey(RecordCodec.storeKey(relay.record().key()))
                    .setVersion(relay.record().record().version())
                    .setValue(
                            ByteString.copyFrom(
                                    RecordCodec.encode(relay.record().record().value())));
        } else if (item instanceof PeerItem.PoolShortfall shortfall) {
            builder.getPoolNeedBuilder().setPool(shortfall.pool()).setHosts(shortfall.hosts());
        } else if (!IdempotencyItemCodec.encode(item, builder)) {
            EscrowItemCodec.encode(item, builder);
        }
        return builder.build();
    }

    private static PeerItem decodeItem(Peer.PeerItem item) throws IOException {
        return switch (item.getItemCase()) {
            case RELAY ->
                    new PeerItem.NoteRelay(
                            RecordCodec.decodeNotes(item.getRelay().getNotes().toByteArray()));
            case FLEET_RELAY -> decodeFleetRelay(item.getFleetRelay());
            case POOL_NEED ->
                    new PeerItem.PoolShortfall(
                            item.getPoolNeed().getPool(), item.getPoolNeed().getHosts());
            case ONCE_ASKED, ONCE_ANSWERED, ONCE_RELEASED, ONCE_FORGOTTEN ->
                    IdempotencyItemCodec.decode(item);
            default -> EscrowItemCodec.decode(item);
        };
    }

    private static PeerItem decodeFleetRelay(Peer.FleetRelay relay) throws IOException {
        RecordKey key =
                RecordCodec.parseStoreKey(relay.getKey())
                        .filter(k -> k.kind().isFleet())
                        .orElseThrow(
                                () ->
                                        new IOException(
                                                "not the key of a record about hosts: "
                                                        + relay.getKey()));
        StoreRecord value = RecordCodec.decode(key, relay.getValue().toByteArray());
        VersionedRecord record = new VersionedRecord(relay.getVersion(), value);
        return new PeerItem.FleetRelay(new FleetRecord(key, record));
    }
}
