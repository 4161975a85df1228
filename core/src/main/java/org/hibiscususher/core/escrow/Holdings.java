package org.hibiscususher.core.escrow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.message.PeerItem.GrantAck;
import org.hibiscususher.core.message.PeerItem.GrantCount;
import org.hibiscususher.core.message.PeerItem.ReturnAck;
import org.hibiscususher.core.message.PeerItem.ReturnCount;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.PermitKind;
import org.hibiscususher.core.world.AllocatorBindingRow;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.PermitLimitRow;
import org.hibiscususher.core.world.World;

/**
 * The permits that this entry holds: applies grants, and returns permits that it is not to keep.
 *
 * <p>A permit is returned only while no request uses it, and is no longer held once the return is
 * sent. Grants and returns are sent as counts since the claim, so that messages may be lost,
 * repeated and reordered without a permit being lost or counted twice.
 */
final class Holdings {
    private Holdings() {}

    /**
     * Applies a grant and acknowledges it. Ignored unless it is from the present allocator under
     * the present claim epoch.
     */
    static void applyGrant(MessageExchange exchange, MemberKey from, GrantCount granted) {
        if (!isCurrent(exchange, from, granted.permit(), granted.claimEpoch())) {
            return;
        }
        World world = exchange.world();
        PermitKey key = granted.permit();
        HoldingRow row = world.holdings().find(key).orElse(HoldingRow.none(key));
        world.holdings().put(key, row.withGranted(granted.granted()));
        world.allocatorBindings().update(key.permitGroup(), a -> a.withDueBy(0));
        exchange.send(from, new GrantAck(granted.claimEpoch(), key, granted.granted()));
    }

    /**
     * Records that the allocator has received a return. Ignored unless it is from the present
     * allocator under the present claim epoch.
     */
    static void applyReturnAck(MessageExchange exchange, MemberKey from, ReturnAck ack) {
        if (isCurrent(exchange, from, ack.permit(), ack.claimEpoch())) {
            exchange.world()
                    .holdings()
                    .update(ack.permit(), h -> h.withAcknowledgedReturns(ack.returned()));
        }
    }

    /** Returns whether a message is from the present allocator under the present claim epoch. */
    private static boolean isCurrent(
            MessageExchange exchange, MemberKey from, PermitKey key, long claimEpoch) {
        Optional<AllocatorBindingRow> row =
                exchange.world().allocatorBindings().find(key.permitGroup());
        return row.isPresent()
                && row.get().allocator().equals(from)
                && row.get().claimEpoch() == claimEpoch;
    }

    /**
     * Processes the groups that are due: sends claims and returns, and resends those that were not
     * acknowledged.
     */
    static void runDue(MessageExchange exchange) {
        for (AllocatorBindingRow row : exchange.world().allocatorBindings().rows()) {
            if (row.dueMs() <= exchange.nowMs()) {
                process(exchange, row);
            }
        }
    }

    private static void process(MessageExchange exchange, AllocatorBindingRow row) {
        World world = exchange.world();
        if (!row.claimAcknowledged()
                && isDue(exchange, row.claimSentMs(), EscrowTiming.CLAIM_RETRY_MS)) {
            AllocatorBindings.sendClaim(exchange, row);
        }
        if (row.claimAcknowledged()) {
            returnExcess(world, row);
        }
        boolean unacknowledged = !row.claimAcknowledged();
        for (HoldingRow holding : List.copyOf(world.holdings().group(row.group()))) {
            if (holding.hasUnacknowledgedReturn()) {
                unacknowledged = true;
                resendReturn(exchange, row, holding);
            }
        }
        long nextDueMs =
                unacknowledged
                        ? exchange.nowMs() + EscrowTiming.RESEND_INTERVAL_MS
                        : AllocatorBindingRow.NEVER;
        world.allocatorBindings().update(row.group(), a -> a.withDueAt(nextDueMs));
    }

    private static boolean isDue(MessageExchange exchange, long sentMs, int intervalMs) {
        return sentMs < 0 || exchange.nowMs() - sentMs >= intervalMs;
    }

    private static void resendReturn(
            MessageExchange exchange, AllocatorBindingRow row, HoldingRow holding) {
        if (isDue(exchange, holding.sentMs(), EscrowTiming.RESEND_INTERVAL_MS)) {
            exchange.world().holdings().put(holding.key(), holding.withSent(exchange.nowMs()));
            exchange.send(
                    row.allocator(),
                    new ReturnCount(row.claimEpoch(), holding.key(), holding.returned()));
        }
    }

    /** Returns the idle permits that are unusable or above the targets of a group. */
    private static void returnExcess(World world, AllocatorBindingRow row) {
        List<HoldingRow> mainRows = new ArrayList<>();
        List<HoldingRow> longRunRows = new ArrayList<>();
        for (HoldingRow holding : List.copyOf(world.holdings().group(row.group()))) {
            HoldingRow kept = returnUnusable(world, holding);
            if (kept.key().kind() == PermitKind.LONG_RUN) {
                longRunRows.add(kept);
            } else {
                mainRows.add(kept);
            }
        }
        returnAboveTarget(world, mainRows, row.mainTarget());
        returnAboveTarget(world, longRunRows, row.longRunTarget());
    }

    /** Returns the idle permits of a row whose limit is 0, such as the slots of a recalled host. */
    private static HoldingRow returnUnusable(World world, HoldingRow holding) {
        boolean usable =
                world.permitLimits().find(holding.key()).map(PermitLimitRow::limit).orElse(0) > 0;
        if (usable || holding.idle() == 0) {
            return holding;
        }
        HoldingRow kept = holding.plusReturned(holding.idle());
        world.holdings().put(kept.key(), kept);
        return kept;
    }

    /** Returns idle permits above a target, one at a time from the row with the most idle ones. */
    private static void returnAboveTarget(World world, List<HoldingRow> rows, int target) {
        int excess = -target;
        for (HoldingRow row : rows) {
            excess += row.held();
        }
        while (excess > 0) {
            HoldingRow mostIdle =
                    rows.stream().max(Comparator.comparing(HoldingRow::idle)).orElseThrow();
            if (mostIdle.idle() == 0) {
                return;
            }
            HoldingRow kept = mostIdle.plusReturned(1);
            rows.set(rows.indexOf(mostIdle), kept);
            world.holdings().put(kept.key(), kept);
            excess--;
        }
    }
}
