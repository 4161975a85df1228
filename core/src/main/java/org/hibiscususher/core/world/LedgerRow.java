package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.message.PermitKey;

/**
 * What an allocator knows of the holders of a permit.
 *
 * @param key the permits
 * @param unclaimed how many members without an answer may hold; of no account once all answered
 * @param accounts the members that hold, or have held, some
 */
public record LedgerRow(PermitKey key, int unclaimed, List<MemberAccount> accounts) {
    /** Copies the list. */
    public LedgerRow {
        requireNonNull(key);
        accounts = List.copyOf(accounts);
    }

    /** Returns how many all members that have answered hold at most. */
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

    /** Returns a copy with an account in place of the member's former one. */
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
     * Returns a copy of which members without an answer may hold more, or with less than 0 fewer.
     */
    public LedgerRow plusUnclaimed(int change) {
        return new LedgerRow(key, Math.max(0, unclaimed + change), accounts);
    }
}
