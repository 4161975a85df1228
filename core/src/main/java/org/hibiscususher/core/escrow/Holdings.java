package org.hibiscususher.core.escrow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.message.PeerItem.GrantSeen;
import org.hibiscususher.core.message.PeerItem.Granted;
import org.hibiscususher.core.message.PeerItem.ReturnSeen;
import org.hibiscususher.core.message.PeerItem.Returned;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.PermitKind;
import org.hibiscususher.core.world.AttachmentRow;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.TotalRow;
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
    static void applyGrant(MessageExchange exchange, MemberKey from, Granted granted) {
        if (!isCurrent(exchange, from, granted.permit(), granted.basis())) {
            return;
        }
        World world = exchange.world();
        PermitKey key = granted.permit();
        HoldingRow row = world.holdings().find(key).orElse(HoldingRow.none(key));
        world.holdings().put(key, row.withGranted(granted.granted()));
        world.attachments().update(key.permitGroup(), a -> a.withDue(0));
        exchange.send(from, new GrantSeen(granted.basis(), key, granted.granted()));
    }

    /**
     * Records that the allocator has received a return. Ignored unless it is from the present
     * allocator under the present claim epoch.
     */
    static void applyReturnAck(MessageExchange exchange, MemberKey from, ReturnSeen ack) {
        if (isCurrent(exchange, from, ack.permit(), ack.basis())) {
            exchange.world().holdings().update(ack.permit(), h -> h.withReturnSeen(ack.returned()));
        }
    }

    /** Returns whether a message is from the present allocator under the present claim epoch. */
    private static boolean isCurrent(
            MessageExchange exchange, MemberKey from, PermitKey key, long claimEpoch) {
        Optional<AttachmentRow> row = exchange.world().attachments().find(key.permitGroup());
        return row.isPresent()
                && row.get().allocator().equals(from)
                && row.get().basis() == claimEpoch;
    }

    /**
     * Processes the groups that are due: sends claims and returns, and resends those that were not
     * acknowledged.
     */
    static void runDue(MessageExchange exchange) {
        for (AttachmentRow row : exchange.world().attachments().rows()) {
            if (row.dueMs() <= exchange.nowMs()) {
                process(exchange, row);
            }
        }
    }

    private static void process(MessageExchange exchange, AttachmentRow row) {
        World world = exchange.world();
        if (!row.answered() && isDue(exchange, row.claimSentMs(), EscrowTiming.CLAIM_RETRY_MS)) {
            AllocatorBindings.sendClaim(exchange, row);
        }
        if (row.answered()) {
            returnExcess(world, row);
        }
        boolean unacknowledged = !row.answered();
        for (HoldingRow holding : List.copyOf(world.holdings().group(row.group()))) {
            if (holding.unseen()) {
                unacknowledged = true;
                resendReturn(exchange, row, holding);
            }
        }
        long nextDueMs =
                unacknowledged
                        ? exchange.nowMs() + EscrowTiming.RESEND_INTERVAL_MS
                        : AttachmentRow.NEVER;
        world.attachments().update(row.group(), a -> a.withNextDue(nextDueMs));
    }

    private static boolean isDue(MessageExchange exchange, long sentMs, int intervalMs) {
        return sentMs < 0 || exchange.nowMs() - sentMs >= intervalMs;
    }

    private static void resendReturn(
            MessageExchange exchange, AttachmentRow row, HoldingRow holding) {
        if (isDue(exchange, holding.sentMs(), EscrowTiming.RESEND_INTERVAL_MS)) {
            exchange.world().holdings().put(holding.key(), holding.withSent(exchange.nowMs()));
            exchange.send(
                    row.allocator(), new Returned(row.basis(), holding.key(), holding.returned()));
        }
    }

    /** Returns the idle permits that are unusable or above the targets of a group. */
    private static void returnExcess(World world, AttachmentRow row) {
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
        returnAboveTarget(world, longRunRows, row.longTarget());
    }

    /** Returns the idle permits of a row whose limit is 0, such as the slots of a recalled host. */
    private static HoldingRow returnUnusable(World world, HoldingRow holding) {
        boolean usable = world.totals().find(holding.key()).map(TotalRow::total).orElse(0) > 0;
        if (usable || holding.idle() == 0) {
            return holding;
        }
        HoldingRow kept = holding.withReturned(holding.idle());
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
            HoldingRow kept = mostIdle.withReturned(1);
            rows.set(rows.indexOf(mostIdle), kept);
            world.holdings().put(kept.key(), kept);
            excess--;
        }
    }
}
