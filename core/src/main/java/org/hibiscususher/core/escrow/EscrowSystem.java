package org.hibiscususher.core.escrow;

import java.util.Optional;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;
import org.hibiscususher.core.world.EscrowPolicy;
import org.hibiscususher.core.world.EscrowSyncRow;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Holds permits in escrow: each is held by exactly one entry, or is free at the allocator of its
 * group, so that an entry starts requests without asking the others and no limit is exceeded.
 *
 * <p>As a holder, this entry is bound to the allocator of each group, reports its demand and
 * returns permits above its targets. As an allocator, it keeps the ledger of its groups and grants
 * permits by demand.
 */
public final class EscrowSystem {
    private EscrowSystem() {}

    /**
     * Updates limits and roles, applies the members' messages and sends those that are due.
     *
     * <p>Messages of this entry to itself are handled within the tick, so they are drained after
     * each step that may send some; holdings run twice to handle targets that this entry has just
     * sent itself.
     */
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
                                        && m.state().mayHoldPermits());
    }

    /**
     * Drops the permits not in use and all roles of a process that is not, or no longer, a member.
     *
     * <p>Permits in use stay until their requests end; their allocator counts them as held until
     * those runs must be over.
     */
    private static void relinquishAll(World world) {
        if (world.allocatorBindings().size() == 0) {
            return;
        }
        for (HoldingRow row : world.holdings().rows()) {
            world.holdings().remove(row.key());
            if (row.inUse() > 0) {
                world.holdings().put(row.key(), row.plusReturned(row.idle()).withCountsRestarted());
            }
        }
        world.allocatorBindings().clear();
        world.allocatorTerms().clear();
        world.ledger().clear();
        world.memberDemands().clear();
        world.sentAllocations().clear();
        world.demandReports().clear();
        world.escrowSyncTable().update(World.SELF, EscrowSyncRow::withoutEpoch);
    }

    /** Updates bindings and terms after a new membership record or a change of the limits. */
    private static void updateRoles(MessageExchange exchange, boolean limitsChanged) {
        World world = exchange.world();
        MembershipRecord record = world.membership().record();
        EscrowSyncRow row = world.escrowSync();
        if (row.epoch() == record.epoch() && !limitsChanged) {
            return;
        }
        AllocatorBindings.rebind(exchange);
        AllocatorTerms.update(exchange);
        world.escrowSyncTable()
                .put(
                        World.SELF,
                        new EscrowSyncRow(
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

    private static void handle(MessageExchange exchange, ReceivedItem received) {
        PeerItem item = received.item();
        if (item instanceof PeerItem.PermitClaim claim) {
            AllocatorTerms.applyClaim(exchange, received.from(), claim);
        } else if (item instanceof PeerItem.PermitClaimRequest request) {
            AllocatorBindings.handleClaimRequest(exchange, received.from(), request);
        } else if (item instanceof PeerItem.GrantCount granted) {
            Holdings.applyGrant(exchange, received.from(), granted);
        } else if (item instanceof PeerItem.ReturnCount returned) {
            AllocationLedger.applyReturn(exchange, received.from(), returned);
        } else if (item instanceof PeerItem.GrantAck ack) {
            AllocationLedger.applyGrantAck(exchange, received.from(), ack);
        } else if (item instanceof PeerItem.ReturnAck ack) {
            Holdings.applyReturnAck(exchange, received.from(), ack);
        } else if (item instanceof PeerItem.PermitTarget target) {
            AllocatorBindings.applyTarget(exchange, received, target);
        } else if (item instanceof PeerItem.Demand demand) {
            DemandReports.applyDemand(exchange, received, demand);
        } else if (item instanceof PeerItem.PoolEntitlements entitlements) {
            DemandReports.applyEntitlements(exchange, received, entitlements);
        }
    }
}
