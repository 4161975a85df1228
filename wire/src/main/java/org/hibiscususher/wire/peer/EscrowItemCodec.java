package org.hibiscususher.wire.peer;

import java.io.IOException;
import java.util.List;
import org.hibiscususher.core.message.ClaimedPermit;
import org.hibiscususher.core.message.GroupKind;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.PermitKind;
import org.hibiscususher.core.message.TeamDemand;
import org.hibiscususher.core.message.TeamEntitlement;
import org.hibiscususher.wire.generated.Peer;

/** Encodes the items about permits in escrow as protobuf and decodes them. */
final class EscrowItemCodec {
    private EscrowItemCodec() {}

    /**
     * Sets the item in the builder.
     *
     * @throws IllegalArgumentException if the item is not about permits in escrow
     */
    static void encode(PeerItem item, Peer.PeerItem.Builder builder) {
        if (item instanceof PeerItem.PermitClaim claim) {
            builder.setClaim(encodeClaim(claim));
        } else if (item instanceof PeerItem.PermitClaimRequest request) {
            builder.getClaimAskedBuilder()
                    .setEpoch(request.epoch())
                    .setGroup(encodeGroup(request.group()));
        } else if (item instanceof PeerItem.GrantCount granted) {
            builder.setGranted(
                    encodeCount(granted.claimEpoch(), granted.permit(), granted.granted()));
        } else if (item instanceof PeerItem.ReturnCount returned) {
            builder.setReturned(
                    encodeCount(returned.claimEpoch(), returned.permit(), returned.returned()));
        } else if (item instanceof PeerItem.GrantAck ack) {
            builder.setGrantSeen(encodeCount(ack.claimEpoch(), ack.permit(), ack.granted()));
        } else if (item instanceof PeerItem.ReturnAck ack) {
            builder.setReturnSeen(encodeCount(ack.claimEpoch(), ack.permit(), ack.returned()));
        } else if (item instanceof PeerItem.PermitTarget target) {
            builder.getTargetBuilder()
                    .setBasis(target.claimEpoch())
                    .setGroup(encodeGroup(target.group()))
                    .setMain(target.main())
                    .setLongRuns(target.longRuns());
        } else if (item instanceof PeerItem.Demand demand) {
            builder.setDemand(encodeDemand(demand));
        } else if (item instanceof PeerItem.PoolEntitlements entitlements) {
            builder.setDues(encodeEntitlements(entitlements));
        } else {
            throw new IllegalArgumentException("no encoding for " + item.getClass());
        }
    }

    private static Peer.Claim encodeClaim(PeerItem.PermitClaim claim) {
        Peer.Claim.Builder builder =
                Peer.Claim.newBuilder()
                        .setBasis(claim.claimEpoch())
                        .setGroup(encodeGroup(claim.group()));
        for (ClaimedPermit permit : claim.permits()) {
            builder.addPermitsBuilder()
                    .setPermit(encodePermit(permit.permit()))
                    .setHeld(permit.held())
                    .setHighest(permit.highestLimit());
        }
        return builder.build();
    }

    private static Peer.Count encodeCount(long claimEpoch, PermitKey permit, long count) {
        return Peer.Count.newBuilder()
                .setBasis(claimEpoch)
                .setPermit(encodePermit(permit))
                .setCount(count)
                .build();
    }

    private static Peer.Demand encodeDemand(PeerItem.Demand demand) {
        Peer.Demand.Builder builder =
                Peer.Demand.newBuilder().setGroup(encodeGroup(demand.group()));
        for (TeamDemand team : demand.teams()) {
            builder.addTeamsBuilder()
                    .setTeam(team.team())
                    .setQuickWaiting(team.quickWaiting())
                    .setQuickRunning(team.quickRunning())
                    .setLongWaiting(team.longWaiting())
                    .setLongRunning(team.longRunning());
        }
        return builder.build();
    }

    private static Peer.Dues encodeEntitlements(PeerItem.PoolEntitlements entitlements) {
        Peer.Dues.Builder builder = Peer.Dues.newBuilder().setPool(entitlements.pool());
        for (TeamEntitlement team : entitlements.teams()) {
            builder.addTeamsBuilder().setTeam(team.team()).setMilliSlots(team.milliSlots());
        }
        return builder.build();
    }

    private static Peer.PermitGroup encodeGroup(PermitGroup group) {
        return Peer.PermitGroup.newBuilder()
                .setKind(group.kind().ordinal())
                .setName(group.name())
                .build();
    }

    /** Encodes a key without its name if that equals the group, as it does for all but slots. */
    private static Peer.PermitKey encodePermit(PermitKey key) {
        Peer.PermitKey.Builder builder =
                Peer.PermitKey.newBuilder().setKind(key.kind().ordinal()).setGroup(key.group());
        if (!key.name().equals(key.group())) {
            builder.setName(key.name());
        }
        return builder.build();
    }

    /**
     * Returns the item that protobuf encodes.
     *
     * @throws IOException if the item has a type that this build doesn't know
     * @throws IndexOutOfBoundsException if it has an enum ordinal that this build doesn't know
     */
    static PeerItem decode(Peer.PeerItem item) throws IOException {
        return switch (item.getItemCase()) {
            case CLAIM -> decodeClaim(item.getClaim());
            case CLAIM_ASKED ->
                    new PeerItem.PermitClaimRequest(
                            item.getClaimAsked().getEpoch(),
                            decodeGroup(item.getClaimAsked().getGroup()));
            case GRANTED -> {
                Peer.Count count = item.getGranted();
                yield new PeerItem.GrantCount(
                        count.getBasis(), decodePermit(count.getPermit()), count.getCount());
            }
            case RETURNED -> {
                Peer.Count count = item.getReturned();
                yield new PeerItem.ReturnCount(
                        count.getBasis(), decodePermit(count.getPermit()), count.getCount());
            }
            case GRANT_SEEN -> {
                Peer.Count count = item.getGrantSeen();
                yield new PeerItem.GrantAck(
                        count.getBasis(), decodePermit(count.getPermit()), count.getCount());
            }
            case RETURN_SEEN -> {
                Peer.Count count = item.getReturnSeen();
                yield new PeerItem.ReturnAck(
                        count.getBasis(), decodePermit(count.getPermit()), count.getCount());
            }
            case TARGET ->
                    new PeerItem.PermitTarget(
                            item.getTarget().getBasis(),
                            decodeGroup(item.getTarget().getGroup()),
                            item.getTarget().getMain(),
                            item.getTarget().getLongRuns());
            case DEMAND -> decodeDemand(item.getDemand());
            case DUES -> decodeEntitlements(item.getDues());
            default -> throw new IOException("unknown type of item in a message between entries");
        };
    }

    private static PeerItem.PermitClaim decodeClaim(Peer.Claim claim) {
        List<ClaimedPermit> permits =
                claim.getPermitsList().stream()
                        .map(
                                p ->
                                        new ClaimedPermit(
                                                decodePermit(p.getPermit()),
                                                p.getHeld(),
                                                p.getHighest()))
                        .toList();
        return new PeerItem.PermitClaim(claim.getBasis(), decodeGroup(claim.getGroup()), permits);
    }

    private static PeerItem.Demand decodeDemand(Peer.Demand demand) {
        List<TeamDemand> teams =
                demand.getTeamsList().stream()
                        .map(
                                t ->
                                        new TeamDemand(
                                                t.getTeam(),
                                                t.getQuickWaiting(),
                                                t.getQuickRunning(),
                                                t.getLongWaiting(),
                                                t.getLongRunning()))
                        .toList();
        return new PeerItem.Demand(decodeGroup(demand.getGroup()), teams);
    }

    private static PeerItem.PoolEntitlements decodeEntitlements(Peer.Dues entitlements) {
        List<TeamEntitlement> teams =
                entitlements.getTeamsList().stream()
                        .map(t -> new TeamEntitlement(t.getTeam(), t.getMilliSlots()))
                        .toList();
        return new PeerItem.PoolEntitlements(entitlements.getPool(), teams);
    }

    private static PermitGroup decodeGroup(Peer.PermitGroup group) {
        return new PermitGroup(GroupKind.values()[group.getKind()], group.getName());
    }

    /** Decodes a key; a name that was left out equals the group. */
    private static PermitKey decodePermit(Peer.PermitKey key) {
        String name = key.getName().isEmpty() ? key.getGroup() : key.getName();
        return new PermitKey(PermitKind.values()[key.getKind()], key.getGroup(), name);
    }
}
