package org.hibiscususher.core.escrow;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.membership.RendezvousHash;
import org.hibiscususher.core.message.ClaimedPermit;
import org.hibiscususher.core.message.PeerItem.PermitClaim;
import org.hibiscususher.core.message.PeerItem.PermitClaimRequest;
import org.hibiscususher.core.message.PeerItem.PermitTarget;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;
import org.hibiscususher.core.world.AllocatorBindingRow;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.PermitLimitRow;
import org.hibiscususher.core.world.World;

/**
 * Binds this entry to the allocator of each group of permits.
 *
 * <p>While the allocator of a group stays the same, grants and returns are counted from one claim.
 * When it changes, the current holdings become a new claim with a higher claim epoch, and the
 * counts restart at 0. Messages under an earlier claim epoch are ignored from then on: a late grant
 * of the former allocator would add permits that the new one doesn't know of, and the limit could
 * be exceeded.
 */
final class AllocatorBindings {
    private AllocatorBindings() {}

    /**
     * Binds each group to its allocator by the newest membership record.
     *
     * <p>A group without an allocator keeps its binding.
     */
    static void rebind(MessageExchange exchange) {
        World world = exchange.world();
        MembershipRecord record = world.membership().record();
        Set<PermitGroup> groups = new LinkedHashSet<>(world.permitLimits().groups());
        groups.addAll(world.holdings().groups());
        for (PermitGroup group : groups) {
            Optional<MemberKey> allocator = allocatorOf(group, record);
            Optional<MemberKey> bound =
                    world.allocatorBindings().find(group).map(AllocatorBindingRow::allocator);
            if (allocator.isPresent() && !allocator.equals(bound)) {
                bind(world, group, allocator.get(), record.epoch());
            }
        }
    }

    /**
     * Returns the process that allocates a group by a membership record, or empty if no member may
     * allocate.
     */
    static Optional<MemberKey> allocatorOf(PermitGroup group, MembershipRecord record) {
        return RendezvousHash.choose(group.hashedName(), record)
                .flatMap(
                        id ->
                                record.members().stream()
                                        .filter(m -> m.id().equals(id))
                                        .filter(m -> m.state().mayAllocate())
                                        .findFirst())
                .map(m -> new MemberKey(m.id(), m.incarnation()));
    }

    /**
     * Binds a group to an allocator, to which it has sent no claim yet.
     *
     * @param epoch epoch of the claim to be sent
     */
    private static void bind(World world, PermitGroup group, MemberKey allocator, long epoch) {
        for (HoldingRow holding : List.copyOf(world.holdings().group(group))) {
            if (holding.held() == 0) {
                world.holdings().remove(holding.key());
            } else {
                world.holdings().put(holding.key(), holding.withCountsRestarted());
            }
        }
        world.allocatorBindings().put(group, AllocatorBindingRow.of(group, allocator, epoch));
        world.demandReports().remove(group);
    }

    /**
     * Sends a claim to an allocator that lacks one, with a new claim epoch if the present one is
     * older than the allocator's term.
     *
     * <p>Ignored unless the membership record known here is at least as new as the request and
     * names the sender as the group's allocator.
     */
    static void handleClaimRequest(
            MessageExchange exchange, MemberKey from, PermitClaimRequest request) {
        World world = exchange.world();
        MembershipRecord record = world.membership().record();
        PermitGroup group = request.group();
        if (record.epoch() < request.epoch()
                || !allocatorOf(group, record).equals(Optional.of(from))) {
            return;
        }
        Optional<AllocatorBindingRow> row = world.allocatorBindings().find(group);
        boolean claimCurrent =
                row.map(a -> a.allocator().equals(from) && a.claimEpoch() >= request.epoch())
                        .orElse(false);
        if (!claimCurrent) {
            bind(world, group, from, record.epoch());
        }
        sendClaim(exchange, world.allocatorBindings().find(group).orElseThrow());
    }

    /**
     * Sends the claim of a group. Each repetition under one claim epoch is the same.
     *
     * <p>The claim also lists permits whose limit was once higher than now, even if this entry
     * holds none: other members may hold permits of that time, which the allocator has to count.
     */
    static void sendClaim(MessageExchange exchange, AllocatorBindingRow row) {
        World world = exchange.world();
        List<ClaimedPermit> permits = new ArrayList<>();
        for (HoldingRow holding : world.holdings().group(row.group())) {
            if (holding.claimed() > 0) {
                int highest =
                        world.permitLimits()
                                .find(holding.key())
                                .map(PermitLimitRow::highestLimit)
                                .orElse(0);
                permits.add(new ClaimedPermit(holding.key(), holding.claimed(), highest));
            }
        }
        for (PermitLimitRow total : world.permitLimits().group(row.group())) {
            boolean held =
                    world.holdings().find(total.key()).map(h -> h.claimed() > 0).orElse(false);
            if (!held && total.highestLimit() > total.limit()) {
                permits.add(new ClaimedPermit(total.key(), 0, total.highestLimit()));
            }
        }
        world.allocatorBindings().put(row.group(), row.withClaimSent(exchange.nowMs()));
        exchange.send(row.allocator(), new PermitClaim(row.claimEpoch(), row.group(), permits));
    }

    /**
     * Applies how many permits of a group to keep, which also acknowledges the claim.
     *
     * <p>Ignored if it is not from the present allocator, if it was sent under another claim epoch,
     * or if a later message has brought targets already.
     */
    static void applyTarget(MessageExchange exchange, ReceivedItem received, PermitTarget target) {
        exchange.world()
                .allocatorBindings()
                .find(target.group())
                .filter(a -> a.allocator().equals(received.from()))
                .filter(a -> a.claimEpoch() == target.claimEpoch())
                .filter(a -> a.targetSequence() <= received.sequence())
                .ifPresent(
                        a ->
                                exchange.world()
                                        .allocatorBindings()
                                        .put(
                                                a.group(),
                                                a.withTargets(
                                                        received.sequence(),
                                                        target.main(),
                                                        target.longRuns())));
    }
}
