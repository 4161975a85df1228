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

/** The permits that this entry holds: takes grants in and returns what it shall not keep. */
final class Holdings {
    private Holdings() {}

    /** Takes in a grant of the allocator that this entry follows, and acknowledges it. */
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

    /** Takes in that the allocator has seen a return. */
    static void applyReturnAck(MessageExchange exchange, MemberKey from, ReturnSeen seen) {
        if (isCurrent(exchange, from, seen.permit(), seen.basis())) {
            exchange.world()
                    .holdings()
                    .update(seen.permit(), h -> h.withReturnSeen(seen.returned()));
        }
    }

    private static boolean isCurrent(
            MessageExchange exchange, MemberKey from, PermitKey key, long basis) {
        Optional<AttachmentRow> row = exchange.world().attachments().find(key.permitGroup());
        return row.isPresent() && row.get().allocator().equals(from) && row.get().basis() == basis;
    }

    /** Looks at the groups that are due: sends claims and returns, again where that is needed. */
    static void runDue(MessageExchange exchange) {
        for (AttachmentRow row : exchange.world().attachments().rows()) {
            if (row.dueMs() <= exchange.nowMs()) {
                runDue(exchange, row);
            }
        }
    }

    private static void runDue(MessageExchange exchange, AttachmentRow row) {
        World world = exchange.world();
        if (!row.answered() && isDue(exchange, row.claimSentMs(), EscrowTiming.ASK_AGAIN_MS)) {
            AllocatorBindings.sendClaim(exchange, row);
        }
        if (row.answered()) {
            returnExcess(world, row);
        }
        boolean unseen = !row.answered();
        for (HoldingRow holding : List.copyOf(world.holdings().group(row.group()))) {
            if (holding.unseen()) {
                unseen = true;
                resendReturn(exchange, row, holding);
            }
        }
        long next = unseen ? exchange.nowMs() + EscrowTiming.RESEND_MS : AttachmentRow.NEVER;
        world.attachments().update(row.group(), a -> a.withNextDue(next));
    }

    private static boolean isDue(MessageExchange exchange, long sentMs, int intervalMs) {
        return sentMs < 0 || exchange.nowMs() - sentMs >= intervalMs;
    }

    private static void resendReturn(
            MessageExchange exchange, AttachmentRow row, HoldingRow holding) {
        if (isDue(exchange, holding.sentMs(), EscrowTiming.RESEND_MS)) {
            exchange.world().holdings().put(holding.key(), holding.withSent(exchange.nowMs()));
            exchange.send(
                    row.allocator(), new Returned(row.basis(), holding.key(), holding.returned()));
        }
    }

    private static void returnExcess(World world, AttachmentRow row) {
        List<HoldingRow> main = new ArrayList<>();
        List<HoldingRow> longRuns = new ArrayList<>();
        for (HoldingRow holding : List.copyOf(world.holdings().group(row.group()))) {
            HoldingRow kept = returnUnusable(world, holding);
            if (kept.key().kind() == PermitKind.LONG_RUN) {
                longRuns.add(kept);
            } else {
                main.add(kept);
            }
        }
        returnAboveTarget(world, main, row.mainTarget());
        returnAboveTarget(world, longRuns, row.longTarget());
    }

    private static HoldingRow returnUnusable(World world, HoldingRow holding) {
        boolean usable = world.totals().find(holding.key()).map(TotalRow::total).orElse(0) > 0;
        if (usable || holding.idle() == 0) {
            return holding;
        }
        HoldingRow kept = holding.withReturned(holding.idle());
        world.holdings().put(kept.key(), kept);
        return kept;
    }

    private static void returnAboveTarget(World world, List<HoldingRow> rows, int target) {
        int excess = -target;
        for (HoldingRow row : rows) {
            excess += row.held();
        }
        while (excess > 0) {
            HoldingRow most =
                    rows.stream().max(Comparator.comparing(HoldingRow::idle)).orElseThrow();
            if (most.idle() == 0) {
                return;
            }
            HoldingRow kept = most.withReturned(1);
            rows.set(rows.indexOf(most), kept);
            world.holdings().put(kept.key(), kept);
            excess--;
        }
    }
}
