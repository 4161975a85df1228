package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.message.PermitKey;

/**
 * An allocator's accounts of the members that hold permits of one key.
 *
 * @param key key of the permits
 * @param unclaimed upper bound of the permits held by members that have not sent a claim; no longer
 *     used once all have
 * @param accounts the accounts of the members that hold or have held permits
 */
public record LedgerRow(PermitKey key, int unclaimed, List<MemberAccount> accounts) {
    /** Makes a defensive copy of the list. */
    public LedgerRow {
        requireNonNull(key);
        accounts = List.copyOf(accounts);
    }

    /** Returns how many the members that have sent a claim may hold together. */
    public int outstanding() {
        int sum = 0;
        for (MemberAccount account : accounts) {
            sum += account.outstanding();
        }
        return sum;
    }

    /** Returns the account of a member, or empty. */
    public Optional<MemberAccount> account(MemberKey member) {
        return accounts.stream().filter(a -> a.member().equals(member)).findFirst();
    }

    /** Returns a copy with the account of a member added or replaced. */
    public LedgerRow withAccount(MemberAccount account) {
        List<MemberAccount> changed = new ArrayList<>(accounts);
        changed.removeIf(a -> a.member().equals(account.member()));
        changed.add(account);
        return new LedgerRow(key, unclaimed, changed);
    }

    /** Returns a copy without the account of a member. */
    public LedgerRow without(MemberKey member) {
        return new LedgerRow(
                key, unclaimed, accounts.stream().filter(a -> !a.member().equals(member)).toList());
    }

    /**
     * Returns a copy with the given number more unclaimed, or fewer, but not less than 0, if it is
     * negative.
     */
    public LedgerRow plusUnclaimed(int change) {
        return new LedgerRow(key, Math.max(0, unclaimed + change), accounts);
    }
}
