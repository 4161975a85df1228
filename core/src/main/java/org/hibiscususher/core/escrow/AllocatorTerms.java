package org.hibiscususher.core.escrow;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.message.ClaimedPermit;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.PeerItem.Claim;
import org.hibiscususher.core.message.PeerItem.ClaimAsked;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;
import org.hibiscususher.core.world.Account;
import org.hibiscususher.core.world.LedgerRow;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.TenureRow;
import org.hibiscususher.core.world.TenureRow.Answer;
import org.hibiscususher.core.world.TotalRow;
import org.hibiscususher.core.world.World;

/**
 * The terms of this entry as allocator of groups of permits.
 *
 * <p>A term lasts while each membership record seen names this entry as the group's allocator. A
 * new allocator doesn't know what its predecessors have granted. Until every member that may hold
 * permits of the group has sent a claim under an epoch no older than the term, all permits that may
 * exist and aren't claimed count as held; otherwise a permit could be granted twice.
 */
final class AllocatorTerms {
    private AllocatorTerms() {}

    /** Begins, updates and ends terms by the newest membership record. */
    static void update(MessageExchange exchange) {
        World world = exchange.world();
        MembershipRecord record = world.membership().record();
        Map<MemberKey, MemberState> listed = new LinkedHashMap<>();
        for (Member member : record.members()) {
            listed.put(new MemberKey(member.id(), member.incarnation()), member.state());
        }
        for (TenureRow term : world.tenures().rows()) {
            if (isAllocator(exchange, term.group(), record)) {
                world.tenures().put(term.group(), renew(exchange, term, listed));
            } else {
                end(world, term.group());
            }
        }
        for (PermitGroup group : world.totals().groups()) {
            if (!world.tenures().contains(group) && isAllocator(exchange, group, record)) {
                begin(exchange, group, record.epoch(), listed);
            }
        }
    }

    private static boolean isAllocator(
            MessageExchange exchange, PermitGroup group, MembershipRecord record) {
        return AllocatorBindings.allocatorOf(group, record).equals(Optional.of(exchange.self()));
    }

    /**
     * Begins a term, in which no member has sent a claim yet.
     *
     * @param epoch epoch of the membership record that makes this entry the allocator
     * @param listed the members of that record with their states
     */
    private static void begin(
            MessageExchange exchange,
            PermitGroup group,
            long epoch,
            Map<MemberKey, MemberState> listed) {
        Map<MemberKey, Answer> statuses = new LinkedHashMap<>();
        listed.forEach(
                (member, state) ->
                        statuses.put(
                                member, new Answer(-1, state, reclaimTimeMs(exchange, state))));
        exchange.world().tenures().put(group, new TenureRow(group, epoch, statuses, 0, -1));
    }

    /**
     * Returns when the permits of a member may be reclaimed, in milliseconds of the tick's clock.
     *
     * <p>{@link TenureRow#NEVER} while its process may run. The requests of a process that has
     * ended may still run on their hosts, so its permits count as held for the longest run.
     */
    private static long reclaimTimeMs(MessageExchange exchange, MemberState state) {
        return state.mayHold()
                ? TenureRow.NEVER
                : exchange.nowMs() + exchange.world().escrow().longestRunMs();
    }

    /** Ends a term and drops what belongs to it; the next allocator collects claims itself. */
    private static void end(World world, PermitGroup group) {
        world.tenures().remove(group);
        for (LedgerRow row : List.copyOf(world.ledger().group(group))) {
            world.ledger().remove(row.key());
        }
        world.demands().removeIf(d -> d.key().group().equals(group));
        world.advice().removeIf(a -> a.key().group().equals(group));
    }

    /**
     * Returns a term that is due at once, with the members' statuses by the newest record.
     *
     * <p>A member that is no longer listed after it was leaving or dead holds nothing: it is
     * removed from the record only then.
     */
    private static TenureRow renew(
            MessageExchange exchange, TenureRow term, Map<MemberKey, MemberState> listed) {
        TenureRow changed = term.withDue(0);
        for (Map.Entry<MemberKey, Answer> entry : term.answers().entrySet()) {
            MemberKey member = entry.getKey();
            Answer status = entry.getValue();
            MemberState state = listed.get(member);
            if (state == null && status.state().provenOver()) {
                changed = reclaim(exchange.world(), changed, member);
            } else {
                changed = changed.withAnswer(member, updated(exchange, status, state));
            }
        }
        return changed;
    }

    /**
     * Returns the status of a member by the newest membership record.
     *
     * @param state the member's state there; null if it is no longer listed, which counts as dead
     */
    private static Answer updated(MessageExchange exchange, Answer status, MemberState state) {
        MemberState effectiveState = state == null ? MemberState.DEAD : state;
        long reclaimMs =
                status.restUntilMs() == TenureRow.NEVER
                        ? reclaimTimeMs(exchange, effectiveState)
                        : status.restUntilMs();
        return new Answer(status.basis(), state == null ? status.state() : state, reclaimMs);
    }

    /** Removes a member from a term, and what it held from the ledger. */
    private static TenureRow reclaim(World world, TenureRow term, MemberKey member) {
        for (LedgerRow row : List.copyOf(world.ledger().group(term.group()))) {
            if (row.account(member).isPresent()) {
                world.ledger().put(row.key(), row.without(member));
            }
        }
        return term.without(member);
    }

    /**
     * Enters a claim in the ledger and makes the group due, so that targets are sent. They
     * acknowledge the claim.
     *
     * <p>Ignored if this entry does not allocate the group, if the claim epoch is older than the
     * term, or if the sender is not a member that may hold permits. A repeated claim changes no
     * account but is acknowledged again.
     */
    static void applyClaim(MessageExchange exchange, MemberKey from, Claim claim) {
        World world = exchange.world();
        Optional<TenureRow> found = world.tenures().find(claim.group());
        if (found.isEmpty() || claim.basis() < found.get().sinceEpoch() || !mayClaim(world, from)) {
            return;
        }
        TenureRow term = found.get();
        AllocationLedger.ensureRows(world, term);
        Answer previous = term.answers().get(from);
        if (previous == null || previous.basis() < claim.basis()) {
            boolean firstClaim = previous == null || !previous.known();
            recordClaim(world, claim, from, firstClaim && previous != null);
            MemberState state = previous == null ? MemberState.ACTIVE : previous.state();
            long reclaimMs = previous == null ? TenureRow.NEVER : previous.restUntilMs();
            term = term.withAnswer(from, new Answer(claim.basis(), state, reclaimMs));
        }
        world.advice().remove(DemandReports.keyOf(claim.group(), from));
        world.tenures().put(claim.group(), term.withDue(exchange.nowMs()));
    }

    private static boolean mayClaim(World world, MemberKey member) {
        return world.membership().record().members().stream()
                .anyMatch(
                        m ->
                                m.id().equals(member.id())
                                        && m.incarnation() == member.incarnation()
                                        && m.state().mayHold());
    }

    /**
     * Replaces the accounts of a member by its claim.
     *
     * @param fromUnclaimed whether the ledger has so far counted what the member claims as
     *     unclaimed
     */
    private static void recordClaim(
            World world, Claim claim, MemberKey from, boolean fromUnclaimed) {
        for (LedgerRow row : List.copyOf(world.ledger().group(claim.group()))) {
            if (row.account(from).isPresent()) {
                world.ledger().put(row.key(), row.without(from));
            }
        }
        for (ClaimedPermit permit : claim.permits()) {
            PermitKey key = permit.permit();
            if (!world.ledger().contains(key)) {
                world.ledger().put(key, new LedgerRow(key, 0, List.of()));
            }
            PermitLimits.raiseHighest(world, key, permit.highest());
            LedgerRow row = world.ledger().find(key).orElseThrow();
            if (permit.held() > 0) {
                row = row.withAccount(Account.of(from, claim.basis(), permit.held()));
            }
            world.ledger().put(key, fromUnclaimed ? row.withUnclaimed(-permit.held()) : row);
        }
    }

    /**
     * Processes the groups that are due: reclaims the permits of ended members, requests missing
     * claims, balances the permits and resends grants.
     */
    static void runDue(MessageExchange exchange) {
        for (TenureRow row : exchange.world().tenures().rows()) {
            if (row.dueMs() <= exchange.nowMs()) {
                process(exchange, row);
            }
        }
    }

    private static void process(MessageExchange exchange, TenureRow row) {
        World world = exchange.world();
        AllocationLedger.ensureRows(world, row);
        TenureRow term = reclaimDue(exchange, row);
        term = requestClaims(exchange, term);
        world.tenures().put(term.group(), term);
        boolean active = PermitBalancer.run(exchange, term);
        boolean unacknowledged = AllocationLedger.resendGrants(exchange, term);
        long nextDueMs = TenureRow.NEVER;
        for (Answer status : term.answers().values()) {
            nextDueMs = Math.min(nextDueMs, status.restUntilMs());
        }
        if (active || unacknowledged || term.inDoubt()) {
            nextDueMs = Math.min(nextDueMs, exchange.nowMs() + EscrowTiming.RESEND_INTERVAL_MS);
        }
        world.tenures().put(term.group(), term.withNextDue(nextDueMs));
    }

    /** Reclaims the permits of ended members whose longest run must be over. */
    private static TenureRow reclaimDue(MessageExchange exchange, TenureRow row) {
        TenureRow term = row;
        for (Map.Entry<MemberKey, Answer> entry : row.answers().entrySet()) {
            if (entry.getValue().restUntilMs() <= exchange.nowMs()) {
                term = reclaim(exchange.world(), term, entry.getKey());
            }
        }
        return term;
    }

    /** Requests the missing claims, at intervals, from the members that are heard. */
    private static TenureRow requestClaims(MessageExchange exchange, TenureRow term) {
        boolean requestDue =
                term.askedMs() < 0
                        || exchange.nowMs() - term.askedMs() >= EscrowTiming.CLAIM_RETRY_MS;
        if (!requestDue || !term.inDoubt()) {
            return term;
        }
        term.answers()
                .forEach(
                        (member, status) -> {
                            if (!status.known() && isHeard(exchange, member)) {
                                exchange.send(
                                        member, new ClaimAsked(term.sinceEpoch(), term.group()));
                            }
                        });
        return term.withAsked(exchange.nowMs());
    }

    /** Returns whether a member has been heard within the silence limit, or is this process. */
    private static boolean isHeard(MessageExchange exchange, MemberKey member) {
        World world = exchange.world();
        Optional<MemberRow> row = world.members().find(member.id());
        return member.equals(exchange.self())
                || row.filter(m -> m.member().incarnation() == member.incarnation())
                        .map(m -> exchange.nowMs() - m.lastHeardMs() < world.settings().silenceMs())
                        .orElse(false);
    }

    /**
     * Returns whether this entry knows as allocator that no member holds any of the given permits
     * and that none may be granted.
     *
     * <p>False while a claim is missing, and until the permits of a dead member are reclaimed.
     */
    static boolean allReturned(World world, PermitKey key) {
        Optional<TenureRow> term = world.tenures().find(key.permitGroup());
        if (term.isEmpty() || term.get().inDoubt()) {
            return false;
        }
        boolean held = world.ledger().find(key).map(l -> l.outstanding() > 0).orElse(false);
        boolean mayBeGranted = world.totals().find(key).map(TotalRow::total).orElse(0) > 0;
        return !held && !mayBeGranted;
    }
}
