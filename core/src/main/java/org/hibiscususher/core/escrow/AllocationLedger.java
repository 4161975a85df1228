package org.hibiscususher.core.escrow;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.hibiscususher.core.message.PeerItem.GrantAck;
import org.hibiscususher.core.message.PeerItem.GrantCount;
import org.hibiscususher.core.message.PeerItem.ReturnAck;
import org.hibiscususher.core.message.PeerItem.ReturnCount;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.world.AllocatorTermRow;
import org.hibiscususher.core.world.LedgerRow;
import org.hibiscususher.core.world.MemberAccount;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.PermitLimitRow;
import org.hibiscususher.core.world.World;

/**
 * The permits of the groups that this entry allocates, with an account of each member that holds
 * some.
 *
 * <p>An account never shows less than its member holds: a grant is entered before it is sent, and a
 * return only after it was received. Otherwise a lost or late message would let the same permit be
 * granted twice.
 */
final class AllocationLedger {
    private AllocationLedger() {}

    /**
     * Enters a return and acknowledges it.
     *
     * <p>Ignored if the sender has no account under the claim epoch of the message.
     */
    static void applyReturn(MessageExchange exchange, MemberKey from, ReturnCount returned) {
        if (updateAccount(
                exchange,
                from,
                returned.permit(),
                returned.claimEpoch(),
                a -> a.withReturned(returned.returned()))) {
            exchange.world()
                    .allocatorTerms()
                    .update(returned.permit().permitGroup(), t -> t.withDueBy(exchange.nowMs()));
            exchange.send(
                    from,
                    new ReturnAck(returned.claimEpoch(), returned.permit(), returned.returned()));
        }
    }

    /** Records that a member has received a grant, so that it is sent no more. */
    static void applyGrantAck(MessageExchange exchange, MemberKey from, GrantAck seen) {
        updateAccount(
                exchange,
                from,
                seen.permit(),
                seen.claimEpoch(),
                a -> a.withAcknowledgedGrants(seen.granted()));
    }

    /**
     * Updates the account of a member if it has one under a claim epoch; returns whether it has.
     */
    private static boolean updateAccount(
            MessageExchange exchange,
            MemberKey from,
            PermitKey key,
            long claimEpoch,
            UnaryOperator<MemberAccount> update) {
        Optional<LedgerRow> row = exchange.world().ledger().find(key);
        Optional<MemberAccount> account =
                row.flatMap(r -> r.account(from)).filter(a -> a.claimEpoch() == claimEpoch);
        account.ifPresent(
                a -> exchange.world().ledger().put(key, row.get().withAccount(update.apply(a))));
        return account.isPresent();
    }

    /**
     * Returns how many permits of a row may be granted now; negative if the members hold more than
     * the limit, as after it was lowered.
     */
    static int grantable(World world, AllocatorTermRow term, LedgerRow row) {
        return limit(world, term, row) - row.outstanding();
    }

    /**
     * Returns how many permits the members that have sent a claim may hold together: the limit in
     * force, less what the others may hold.
     */
    static int limit(World world, AllocatorTermRow term, LedgerRow row) {
        int total = world.permitLimits().find(row.key()).map(PermitLimitRow::limit).orElse(0);
        return total - (term.awaitsClaims() ? row.unclaimed() : 0);
    }

    /**
     * Adds the missing rows of a group. All permits of a new row count as unclaimed, up to the
     * highest limit known.
     */
    static void ensureRows(World world, AllocatorTermRow term) {
        for (PermitLimitRow total : List.copyOf(world.permitLimits().group(term.group()))) {
            if (!world.ledger().contains(total.key())) {
                world.ledger()
                        .put(
                                total.key(),
                                new LedgerRow(total.key(), total.highestLimit(), List.of()));
            }
        }
    }

    /**
     * Grants permits to a member that has sent a claim.
     *
     * @param claimEpoch the epoch of the member's claim
     * @param count how many permits to add to those granted before
     */
    static void grant(
            MessageExchange exchange, PermitKey key, MemberKey member, long claimEpoch, int count) {
        LedgerRow row = exchange.world().ledger().find(key).orElseThrow();
        MemberAccount account = row.account(member).orElse(MemberAccount.of(member, claimEpoch, 0));
        MemberAccount increased = account.plusGranted(count).withSent(exchange.nowMs());
        exchange.world().ledger().put(key, row.withAccount(increased));
        exchange.send(member, new GrantCount(claimEpoch, key, increased.granted()));
    }

    /**
     * Resends the grants of a group that were not acknowledged in time.
     *
     * @return whether any grant of the group is still unacknowledged, resent or not
     */
    static boolean resendGrants(MessageExchange exchange, AllocatorTermRow term) {
        boolean unacknowledged = false;
        for (LedgerRow row : List.copyOf(exchange.world().ledger().group(term.group()))) {
            for (MemberAccount account : row.accounts()) {
                if (account.hasUnacknowledgedGrant() && !awaitsReclaim(term, account.member())) {
                    unacknowledged = true;
                    resendGrant(exchange, row.key(), account);
                }
            }
        }
        return unacknowledged;
    }

    /** Returns whether a member's process has ended, so that its permits wait to be reclaimed. */
    private static boolean awaitsReclaim(AllocatorTermRow term, MemberKey member) {
        AllocatorTermRow.MemberStatus status = term.memberStatuses().get(member);
        return status == null || status.reclaimAtMs() != AllocatorTermRow.NEVER;
    }

    private static void resendGrant(
            MessageExchange exchange, PermitKey key, MemberAccount account) {
        if (exchange.nowMs() - account.sentMs() < EscrowTiming.RESEND_INTERVAL_MS) {
            return;
        }
        MemberAccount sent = account.withSent(exchange.nowMs());
        exchange.world().ledger().update(key, r -> r.withAccount(sent));
        exchange.send(
                account.member(), new GrantCount(account.claimEpoch(), key, account.granted()));
    }
}
