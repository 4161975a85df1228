package org.hibiscususher.core.escrow;

import java.util.Optional;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;
import org.hibiscususher.core.world.EscrowPolicy;
import org.hibiscususher.core.world.EscrowRow;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Keeps permits in escrow: each is held by exactly one entry, or by its allocator.
 *
 * <p>As a holder, this entry follows the allocator of each group, reports demand and returns what
 * it shall not keep. As an allocator, it keeps the ledger of its groups and grants by demand.
 */
public final class EscrowSystem {
    private EscrowSystem() {}

    /** Takes in what the members have sent and passes on what is due. */
    public static void run(Tick tick) {
        boolean limitsChanged = PermitLimits.update(tick);
        if (tick.world().settings().escrowPolicy() == EscrowPolicy.STATIC_SPLIT) {
            StaticSplit.run(tick);
            return;
        }
        MessageExchange exchange = MessageExchange.of(tick);
        if (!isMember(tick.world(), exchange)) {
            relinquishAll(tick.world());
            return;
        }
        updateRoles(exchange, limitsChanged);
        handleReceived(exchange);
        DemandReports.reportChanges(exchange);
        Holdings.runDue(exchange);
        handleReceived(exchange);
        AllocatorTerms.runDue(exchange);
        handleReceived(exchange);
        Holdings.runDue(exchange);
        handleReceived(exchange);
    }

    private static boolean isMember(World world, MessageExchange exchange) {
        return world.membership().record().members().stream()
                .anyMatch(
                        m ->
                                m.id().equals(exchange.self().id())
                                        && m.incarnation() == exchange.self().incarnation()
                                        && m.state().mayHold());
    }

    /** Gives up what a process that is not, or no longer, a member may not use or allocate. */
    private static void relinquishAll(World world) {
        if (world.attachments().size() == 0) {
            return;
        }
        for (HoldingRow row : world.holdings().rows()) {
            world.holdings().remove(row.key());
            if (row.inUse() > 0) {
                world.holdings().put(row.key(), row.withReturned(row.idle()).rebased());
            }
        }
        world.attachments().clear();
        world.tenures().clear();
        world.ledger().clear();
        world.demands().clear();
        world.advice().clear();
        world.reports().clear();
        world.escrowTable().update(World.SELF, EscrowRow::withdrawn);
    }

    private static void updateRoles(MessageExchange exchange, boolean limitsChanged) {
        World world = exchange.world();
        MembershipRecord record = world.membership().record();
        EscrowRow row = world.escrow();
        if (row.epoch() == record.epoch() && !limitsChanged) {
            return;
        }
        AllocatorBindings.rebind(exchange);
        AllocatorTerms.update(exchange);
        world.escrowTable()
                .put(
                        World.SELF,
                        new EscrowRow(
                                record.epoch(),
                                row.revision(),
                                row.hostsVersion(),
                                row.longestRunMs()));
    }

    private static void handleReceived(MessageExchange exchange) {
        Optional<ReceivedItem> next = exchange.poll();
        while (next.isPresent()) {
            handle(exchange, next.get());
            next = exchange.poll();
        }
    }

    private static void handle(MessageExchange exchange, ReceivedItem delivery) {
        PeerItem item = delivery.item();
        if (item instanceof PeerItem.Claim claim) {
            AllocatorTerms.applyClaim(exchange, delivery.from(), claim);
        } else if (item instanceof PeerItem.ClaimAsked asked) {
            AllocatorBindings.handleClaimRequest(exchange, delivery.from(), asked);
        } else if (item instanceof PeerItem.Granted granted) {
            Holdings.applyGrant(exchange, delivery.from(), granted);
        } else if (item instanceof PeerItem.Returned returned) {
            AllocationLedger.applyReturn(exchange, delivery.from(), returned);
        } else if (item instanceof PeerItem.GrantSeen seen) {
            AllocationLedger.applyGrantAck(exchange, delivery.from(), seen);
        } else if (item instanceof PeerItem.ReturnSeen seen) {
            Holdings.applyReturnAck(exchange, delivery.from(), seen);
        } else if (item instanceof PeerItem.Target target) {
            AllocatorBindings.applyTarget(exchange, delivery, target);
        } else if (item instanceof PeerItem.Demand demand) {
            DemandReports.applyDemand(exchange, delivery, demand);
        } else if (item instanceof PeerItem.Dues dues) {
            DemandReports.due(exchange, delivery, dues);
        }
    }
}
