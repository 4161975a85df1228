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
        boolean limitsChanged = Totals.refresh(tick);
        if (tick.world().settings().escrowPolicy() == EscrowPolicy.STATIC_SPLIT) {
            StaticSplit.run(tick);
            return;
        }
        Exchange exchange = Exchange.of(tick);
        if (!listed(tick.world(), exchange)) {
            withdraw(tick.world());
            return;
        }
        follow(exchange, limitsChanged);
        deliver(exchange);
        Demands.report(exchange);
        Holdings.pass(exchange);
        deliver(exchange);
        Tenures.pass(exchange);
        deliver(exchange);
        Holdings.pass(exchange);
        deliver(exchange);
    }

    private static boolean listed(World world, Exchange exchange) {
        return world.membership().record().members().stream()
                .anyMatch(
                        m ->
                                m.id().equals(exchange.self().id())
                                        && m.incarnation() == exchange.self().incarnation()
                                        && m.state().mayHold());
    }

    /** Gives up what a process that is not, or no longer, a member may not use or allocate. */
    private static void withdraw(World world) {
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

    private static void follow(Exchange exchange, boolean limitsChanged) {
        World world = exchange.world();
        MembershipRecord record = world.membership().record();
        EscrowRow row = world.escrow();
        if (row.epoch() == record.epoch() && !limitsChanged) {
            return;
        }
        Attachments.follow(exchange);
        Tenures.follow(exchange);
        world.escrowTable()
                .put(
                        World.SELF,
                        new EscrowRow(
                                record.epoch(),
                                row.revision(),
                                row.hostsVersion(),
                                row.longestRunMs()));
    }

    private static void deliver(Exchange exchange) {
        Optional<Delivery> next = exchange.next();
        while (next.isPresent()) {
            take(exchange, next.get());
            next = exchange.next();
        }
    }

    private static void take(Exchange exchange, Delivery delivery) {
        PeerItem item = delivery.item();
        if (item instanceof PeerItem.Claim claim) {
            Tenures.claimed(exchange, delivery.from(), claim);
        } else if (item instanceof PeerItem.ClaimAsked asked) {
            Attachments.asked(exchange, delivery.from(), asked);
        } else if (item instanceof PeerItem.Granted granted) {
            Holdings.granted(exchange, delivery.from(), granted);
        } else if (item instanceof PeerItem.Returned returned) {
            Ledgers.returned(exchange, delivery.from(), returned);
        } else if (item instanceof PeerItem.GrantSeen seen) {
            Ledgers.grantSeen(exchange, delivery.from(), seen);
        } else if (item instanceof PeerItem.ReturnSeen seen) {
            Holdings.returnSeen(exchange, delivery.from(), seen);
        } else if (item instanceof PeerItem.Target target) {
            Attachments.targeted(exchange, delivery, target);
        } else if (item instanceof PeerItem.Demand demand) {
            Demands.received(exchange, delivery, demand);
        } else if (item instanceof PeerItem.Dues dues) {
            Demands.due(exchange, delivery, dues);
        }
    }
}
