package org.hibiscususher.wire.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.PermitKind;
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
                    .setConfiguration(
                            ByteString.copyFrom(
                                    RecordCodec.encodeConfiguration(relay.configuration())));
        } else if (item instanceof PeerItem.Returned returned) {
            builder.getReturnedBuilder()
                    .setEpoch(returned.epoch())
                    .setPermit(encodePermit(returned.permit()))
                    .setReturned(returned.returned());
        } else if (item instanceof PeerItem.Granted granted) {
            builder.getGrantedBuilder()
                    .setEpoch(granted.epoch())
                    .setPermit(encodePermit(granted.permit()))
                    .setGranted(granted.granted())
                    .setTarget(granted.target());
        } else if (item instanceof PeerItem.Demand demand) {
            builder.getDemandBuilder()
                    .setEpoch(demand.epoch())
                    .setPool(demand.pool())
                    .setTeam(demand.team())
                    .setKind(demand.kind().ordinal())
                    .setWaiting(demand.waiting())
                    .setRunning(demand.running());
        } else if (item instanceof PeerItem.PoolLoad load) {
            builder.getPoolLoadBuilder()
                    .setEpoch(load.epoch())
                    .setPool(load.pool())
                    .setTeam(load.team())
                    .setRunning(load.running());
        } else {
            throw new IllegalArgumentException("no encoding for " + item.getClass());
        }
        return builder.build();
    }

    private static PeerItem decodeItem(Peer.PeerItem item) throws IOException {
        return switch (item.getItemCase()) {
            case RELAY ->
                    new PeerItem.Relay(
                            RecordCodec.decodeConfiguration(
                                    item.getRelay().getConfiguration().toByteArray()));
            case RETURNED ->
                    new PeerItem.Returned(
                            item.getReturned().getEpoch(),
                            decodePermit(item.getReturned().getPermit()),
                            item.getReturned().getReturned());
            case GRANTED ->
                    new PeerItem.Granted(
                            item.getGranted().getEpoch(),
                            decodePermit(item.getGranted().getPermit()),
                            item.getGranted().getGranted(),
                            item.getGranted().getTarget());
            case DEMAND ->
                    new PeerItem.Demand(
                            item.getDemand().getEpoch(),
                            item.getDemand().getPool(),
                            item.getDemand().getTeam(),
                            QueueKind.values()[item.getDemand().getKind()],
                            item.getDemand().getWaiting(),
                            item.getDemand().getRunning());
            case POOL_LOAD ->
                    new PeerItem.PoolLoad(
                            item.getPoolLoad().getEpoch(),
                            item.getPoolLoad().getPool(),
                            item.getPoolLoad().getTeam(),
                            item.getPoolLoad().getRunning());
            default -> throw new IOException("unknown item in a message between entries");
        };
    }

    private static Peer.PermitKey encodePermit(PermitKey key) {
        Peer.PermitKey.Builder builder =
                Peer.PermitKey.newBuilder().setKind(key.kind().ordinal()).setGroup(key.group());
        if (!key.name().equals(key.group())) {
            builder.setName(key.name());
        }
        return builder.build();
    }

    private static PermitKey decodePermit(Peer.PermitKey key) {
        String name = key.getName().isEmpty() ? key.getGroup() : key.getName();
        return new PermitKey(PermitKind.values()[key.getKind()], key.getGroup(), name);
    }
}
