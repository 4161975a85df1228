package org.hibiscususher.core.escrow;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.membership.Rendezvous;
import org.hibiscususher.core.message.ClaimedPermit;
import org.hibiscususher.core.message.PeerItem.Claim;
import org.hibiscususher.core.message.PeerItem.ClaimAsked;
import org.hibiscususher.core.message.PeerItem.Target;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;
import org.hibiscususher.core.world.AttachmentRow;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.TotalRow;
import org.hibiscususher.core.world.World;

/**
 * Follows the allocator of each group.
 *
 * <p>While the allocator of a group stays the same, the holdings go on counting from the same
 * basis. When it changes, they are frozen into a claim: nothing that was granted under the former
 * basis is taken any more.
 */
final class AllocatorBindings {
    private AllocatorBindings() {}

    /** Attaches to the allocators of the newest membership record. */
    static void rebind(MessageExchange exchange) {
        World world = exchange.world();
        MembershipRecord record = world.membership().record();
        Set<PermitGroup> groups = new LinkedHashSet<>(world.totals().groups());
        groups.addAll(world.holdings().groups());
        for (PermitGroup group : groups) {
            Optional<MemberKey> allocator = allocatorOf(group, record);
            Optional<MemberKey> followed =
                    world.attachments().find(group).map(AttachmentRow::allocator);
            if (allocator.isPresent() && !allocator.equals(followed)) {
                bind(world, group, allocator.get(), record.epoch());
            }
        }
    }

    /** Returns the process that allocates a group, or empty if none may. */
    static Optional<MemberKey> allocatorOf(PermitGroup group, MembershipRecord record) {
        return Rendezvous.choose(group.hashedName(), record)
                .flatMap(
                        id ->
                                record.members().stream()
                                        .filter(m -> m.id().equals(id))
                                        .filter(m -> m.state().allocates())
                                        .findFirst())
                .map(m -> new MemberKey(m.id(), m.incarnation()));
    }

    private static void bind(World world, PermitGroup group, MemberKey allocator, long epoch) {
        for (HoldingRow holding : List.copyOf(world.holdings().group(group))) {
            if (holding.held() == 0) {
                world.holdings().remove(holding.key());
            } else {
                world.holdings().put(holding.key(), holding.rebased());
            }
        }
        world.attachments().put(group, AttachmentRow.of(group, allocator, epoch));
        world.reports().remove(group);
    }

    /** Attaches anew, if the record allows it, to an allocator that has no current claim. */
    static void handleClaimRequest(MessageExchange exchange, MemberKey from, ClaimAsked asked) {
        World world = exchange.world();
        MembershipRecord record = world.membership().record();
        PermitGroup group = asked.group();
        if (record.epoch() < asked.epoch()
                || !allocatorOf(group, record).equals(Optional.of(from))) {
            return;
        }
        Optional<AttachmentRow> row = world.attachments().find(group);
        boolean current =
                row.map(a -> a.allocator().equals(from) && a.basis() >= asked.epoch())
                        .orElse(false);
        if (!current) {
            bind(world, group, from, record.epoch());
        }
        sendClaim(exchange, world.attachments().find(group).orElseThrow());
    }

    /** Sends the claim of a group; it is the same each time under one basis. */
    static void sendClaim(MessageExchange exchange, AttachmentRow row) {
        World world = exchange.world();
        List<ClaimedPermit> permits = new ArrayList<>();
        for (HoldingRow holding : world.holdings().group(row.group())) {
            if (holding.claimed() > 0) {
                int highest = world.totals().find(holding.key()).map(TotalRow::highest).orElse(0);
                permits.add(new ClaimedPermit(holding.key(), holding.claimed(), highest));
            }
        }
        for (TotalRow total : world.totals().group(row.group())) {
            boolean held =
                    world.holdings().find(total.key()).map(h -> h.claimed() > 0).orElse(false);
            if (!held && total.highest() > total.total()) {
                permits.add(new ClaimedPermit(total.key(), 0, total.highest()));
            }
        }
        world.attachments().put(row.group(), row.withClaimSent(exchange.nowMs()));
        exchange.send(row.allocator(), new Claim(row.basis(), row.group(), permits));
    }

    /** Takes in how many permits of a group to keep. */
    static void applyTarget(MessageExchange exchange, ReceivedItem delivery, Target target) {
        exchange.world()
                .attachments()
                .find(target.group())
                .filter(a -> a.allocator().equals(delivery.from()))
                .filter(a -> a.basis() == target.basis())
                .filter(a -> a.sequence() <= delivery.sequence())
                .ifPresent(
                        a ->
                                exchange.world()
                                        .attachments()
                                        .put(
                                                a.group(),
                                                a.withTargets(
                                                        delivery.sequence(),
                                                        target.main(),
                                                        target.longRuns())));
    }
}
