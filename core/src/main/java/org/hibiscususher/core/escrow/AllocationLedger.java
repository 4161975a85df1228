package org.hibiscususher.core.escrow;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.hibiscususher.core.message.PeerItem.GrantSeen;
import org.hibiscususher.core.message.PeerItem.Granted;
import org.hibiscususher.core.message.PeerItem.ReturnSeen;
import org.hibiscususher.core.message.PeerItem.Returned;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.world.Account;
import org.hibiscususher.core.world.LedgerRow;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.TenureRow;
import org.hibiscususher.core.world.TotalRow;
import org.hibiscususher.core.world.World;

/** The ledger of the permits that this entry allocates. */
final class AllocationLedger {
    private AllocationLedger() {}

    /** Takes in a return and acknowledges it. */
    static void applyReturn(MessageExchange exchange, MemberKey from, Returned returned) {
        if (updateAccount(
                exchange,
                from,
                returned.permit(),
                returned.basis(),
                a -> a.withReturned(returned.returned()))) {
            exchange.world()
                    .tenures()
                    .update(returned.permit().permitGroup(), t -> t.withDue(exchange.nowMs()));
            exchange.send(
                    from, new ReturnSeen(returned.basis(), returned.permit(), returned.returned()));
        }
    }

    /** Takes in that a member has seen a grant. */
    static void applyGrantAck(MessageExchange exchange, MemberKey from, GrantSeen seen) {
        updateAccount(
                exchange, from, seen.permit(), seen.basis(), a -> a.withGrantSeen(seen.granted()));
    }

    private static boolean updateAccount(
            MessageExchange exchange,
            MemberKey from,
            PermitKey key,
            long basis,
            UnaryOperator<Account> change) {
        Optional<LedgerRow> row = exchange.world().ledger().find(key);
        Optional<Account> account =
                row.flatMap(r -> r.account(from)).filter(a -> a.basis() == basis);
        account.ifPresent(
                a -> exchange.world().ledger().put(key, row.get().withAccount(change.apply(a))));
        return account.isPresent();
    }

    /** Returns how many permits may be granted now; negative if too many are out. */
    static int grantable(World world, TenureRow tenure, LedgerRow row) {
        return limit(world, tenure, row) - row.outstanding();
    }

    /** Returns how many permits may be out among the members that have answered. */
    static int limit(World world, TenureRow tenure, LedgerRow row) {
        int total = world.totals().find(row.key()).map(TotalRow::total).orElse(0);
        return total - (tenure.inDoubt() ? row.unclaimed() : 0);
    }

    /** Makes sure that each permit of a group that may exist has a row. */
    static void ensureRows(World world, TenureRow tenure) {
        for (TotalRow total : List.copyOf(world.totals().group(tenure.group()))) {
            if (!world.ledger().contains(total.key())) {
                world.ledger()
                        .put(total.key(), new LedgerRow(total.key(), total.highest(), List.of()));
            }
        }
    }

    /** Grants permits to a member that has answered. */
    static void grant(
            MessageExchange exchange, PermitKey key, MemberKey member, long basis, int count) {
        LedgerRow row = exchange.world().ledger().find(key).orElseThrow();
        Account account = row.account(member).orElse(Account.of(member, basis, 0));
        Account grown = account.withGranted(count).withSent(exchange.nowMs());
        exchange.world().ledger().put(key, row.withAccount(grown));
        exchange.send(member, new Granted(basis, key, grown.granted()));
    }

    /** Sends the grants of a group again that were not acknowledged; returns if there are any. */
    static boolean resendGrants(MessageExchange exchange, TenureRow tenure) {
        boolean unseen = false;
        for (LedgerRow row : List.copyOf(exchange.world().ledger().group(tenure.group()))) {
            for (Account account : row.accounts()) {
                if (account.unseen() && !awaitsReclaim(tenure, account.member())) {
                    unseen = true;
                    resendGrants(exchange, row.key(), account);
                }
            }
        }
        return unseen;
    }

    private static boolean awaitsReclaim(TenureRow tenure, MemberKey member) {
        TenureRow.Answer answer = tenure.answers().get(member);
        return answer == null || answer.restUntilMs() != TenureRow.NEVER;
    }

    private static void resendGrants(MessageExchange exchange, PermitKey key, Account account) {
        if (exchange.nowMs() - account.sentMs() < EscrowTiming.RESEND_MS) {
            return;
        }
        Account sent = account.withSent(exchange.nowMs());
        exchange.world().ledger().update(key, r -> r.withAccount(sent));
        exchange.send(account.member(), new Granted(account.basis(), key, account.granted()));
    }
}
