package org.hibiscususher.core.escrow;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.message.ClaimedPermit;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.PeerItem.PermitClaim;
import org.hibiscususher.core.message.PeerItem.PermitClaimRequest;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;
import org.hibiscususher.core.world.AllocatorTermRow;
import org.hibiscususher.core.world.AllocatorTermRow.MemberStatus;
import org.hibiscususher.core.world.LedgerRow;
import org.hibiscususher.core.world.MemberAccount;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.PermitLimitRow;
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
        for (AllocatorTermRow term : world.allocatorTerms().rows()) {
            if (isAllocator(exchange, term.group(), record)) {
                world.allocatorTerms().put(term.group(), renew(exchange, term, listed));
            } else {
                end(world, term.group());
            }
        }
        for (PermitGroup group : world.permitLimits().groups()) {
            if (!world.allocatorTerms().contains(group) && isAllocator(exchange, group, record)) {
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
        Map<MemberKey, MemberStatus> statuses = new LinkedHashMap<>();
        listed.forEach(
                (member, state) ->
                        statuses.put(
                                member,
                                new MemberStatus(-1, state, reclaimTimeMs(exchange, state))));
        exchange.world()
                .allocatorTerms()
                .put(group, new AllocatorTermRow(group, epoch, statuses, 0, -1));
    }

    /**
     * Returns when the permits of a member may be reclaimed, in milliseconds of the tick's clock.
     *
     * <p>{@link AllocatorTermRow#NEVER} while its process may run. The requests of a process that
     * has ended may still run on their hosts, so its permits count as held for the longest run.
     */
    private static long reclaimTimeMs(MessageExchange exchange, MemberState state) {
        return state.mayHoldPermits()
                ? AllocatorTermRow.NEVER
                : exchange.nowMs() + exchange.world().escrowSync().longestRunMs();
    }

    /** Ends a term and drops what belongs to it; the next allocator collects claims itself. */
    private static void end(World world, PermitGroup group) {
        world.allocatorTerms().remove(group);
        for (LedgerRow row : List.copyOf(world.ledger().group(group))) {
            world.ledger().remove(row.key());
        }
        world.memberDemands().removeIf(d -> d.key().group().equals(group));
        world.sentAllocations().removeIf(a -> a.key().group().equals(group));
    }

    /**
     * Returns a term that is due at once, with the members' statuses by the newest record.
     *
     * <p>A member that is no longer listed after it was leaving or dead holds nothing: it is
     * removed from the record only then.
     */
    private static AllocatorTermRow renew(
            MessageExchange exchange, AllocatorTermRow term, Map<MemberKey, MemberState> listed) {
        AllocatorTermRow changed = term.withDueBy(0);
        for (Map.Entry<MemberKey, MemberStatus> entry : term.memberStatuses().entrySet()) {
            MemberKey member = entry.getKey();
            MemberStatus status = entry.getValue();
            MemberState state = listed.get(member);
            if (state == null && status.state().freesPermitsOnRemoval()) {
                changed = reclaim(exchange.world(), changed, member);
            } else {
                changed = changed.withMemberStatus(member, updated(exchange, status, state));
            }
        }
        return changed;
    }

    /**
     * Returns the status of a member by the newest membership record.
     *
     * @param state the member's state there; null if it is no longer listed, which counts as dead
     */
    private static MemberStatus updated(
            MessageExchange exchange, MemberStatus status, MemberState state) {
        MemberState effectiveState = state == null ? MemberState.DEAD : state;
        long reclaimMs =
                status.reclaimAtMs() == AllocatorTermRow.NEVER
                        ? reclaimTimeMs(exchange, effectiveState)
                        : status.reclaimAtMs();
        return new MemberStatus(
                status.claimEpoch(), state == null ? status.state() : state, reclaimMs);
    }

    /** Removes a member from a term, and what it held from the ledger. */
    private static AllocatorTermRow reclaim(World world, AllocatorTermRow term, MemberKey member) {
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
    static void applyClaim(MessageExchange exchange, MemberKey from, PermitClaim claim) {
        World world = exchange.world();
        Optional<AllocatorTermRow> found = world.allocatorTerms().find(claim.group());
        if (found.isEmpty()
                || claim.claimEpoch() < found.get().sinceEpoch()
                || !mayClaim(world, from)) {
            return;
        }
        AllocatorTermRow term = found.get();
        AllocationLedger.ensureRows(world, term);
        MemberStatus previous = term.memberStatuses().get(from);
        if (previous == null || previous.claimEpoch() < claim.claimEpoch()) {
            boolean firstClaim = previous == null || !previous.hasClaimed();
            recordClaim(world, claim, from, firstClaim && previous != null);
            MemberState state = previous == null ? MemberState.ACTIVE : previous.state();
            long reclaimMs = previous == null ? AllocatorTermRow.NEVER : previous.reclaimAtMs();
            term =
                    term.withMemberStatus(
                            from, new MemberStatus(claim.claimEpoch(), state, reclaimMs));
        }
        world.sentAllocations().remove(DemandReports.keyOf(claim.group(), from));
        world.allocatorTerms().put(claim.group(), term.withDueBy(exchange.nowMs()));
    }

    private static boolean mayClaim(World world, MemberKey member) {
        return world.membership().record().members().stream()
                .anyMatch(
                        m ->
                                m.id().equals(member.id())
                                        && m.incarnation() == member.incarnation()
                                        && m.state().mayHoldPermits());
    }

    /**
     * Replaces the accounts of a member by its claim.
     *
     * @param fromUnclaimed whether the ledger has so far counted what the member claims as
     *     unclaimed
     */
    private static void recordClaim(
            World world, PermitClaim claim, MemberKey from, boolean fromUnclaimed) {
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
            PermitLimits.raiseHighest(world, key, permit.highestLimit());
            LedgerRow row = world.ledger().find(key).orElseThrow();
            if (permit.held() > 0) {
                row = row.withAccount(MemberAccount.of(from, claim.claimEpoch(), permit.held()));
            }
            world.ledger().put(key, fromUnclaimed ? row.plusUnclaimed(-permit.held()) : row);
        }
    }

    /**
     * Processes the groups that are due: reclaims the permits of ended members, requests missing
     * claims, balances the permits and resends grants.
     */
    static void runDue(MessageExchange exchange) {
        for (AllocatorTermRow row : exchange.world().allocatorTerms().rows()) {
            if (row.dueMs() <= exchange.nowMs()) {
                process(exchange, row);
            }
        }
    }

    private static void process(MessageExchange exchange, AllocatorTermRow row) {
        World world = exchange.world();
        AllocationLedger.ensureRows(world, row);
        AllocatorTermRow term = reclaimDue(exchange, row);
        term = requestClaims(exchange, term);
        world.allocatorTerms().put(term.group(), term);
        boolean active = PermitBalancer.run(exchange, term);
        boolean unacknowledged = AllocationLedger.resendGrants(exchange, term);
        long nextDueMs = AllocatorTermRow.NEVER;
        for (MemberStatus status : term.memberStatuses().values()) {
            nextDueMs = Math.min(nextDueMs, status.reclaimAtMs());
        }
        if (active || unacknowledged || term.awaitsClaims()) {
            nextDueMs = Math.min(nextDueMs, exchange.nowMs() + EscrowTiming.RESEND_INTERVAL_MS);
        }
        world.allocatorTerms().put(term.group(), term.withDueAt(nextDueMs));
    }

    /** Reclaims the permits of ended members whose longest run must be over. */
    private static AllocatorTermRow reclaimDue(MessageExchange exchange, AllocatorTermRow row) {
        AllocatorTermRow term = row;
        for (Map.Entry<MemberKey, MemberStatus> entry : row.memberStatuses().entrySet()) {
            if (entry.getValue().reclaimAtMs() <= exchange.nowMs()) {
                term = reclaim(exchange.world(), term, entry.getKey());
            }
        }
        return term;
    }

    /** Requests the missing claims, at intervals, from the members that are heard. */
    private static AllocatorTermRow requestClaims(MessageExchange exchange, AllocatorTermRow term) {
        boolean requestDue =
                term.claimsRequestedMs() < 0
                        || exchange.nowMs() - term.claimsRequestedMs()
                                >= EscrowTiming.CLAIM_RETRY_MS;
        if (!requestDue || !term.awaitsClaims()) {
            return term;
        }
        term.memberStatuses()
                .forEach(
                        (member, status) -> {
                            if (!status.hasClaimed() && isHeard(exchange, member)) {
                                exchange.send(
                                        member,
                                        new PermitClaimRequest(term.sinceEpoch(), term.group()));
                            }
                        });
        return term.withClaimsRequested(exchange.nowMs());
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
        Optional<AllocatorTermRow> term = world.allocatorTerms().find(key.permitGroup());
        if (term.isEmpty() || term.get().awaitsClaims()) {
            return false;
        }
        boolean held = world.ledger().find(key).map(l -> l.outstanding() > 0).orElse(false);
        boolean mayBeGranted =
                world.permitLimits().find(key).map(PermitLimitRow::limit).orElse(0) > 0;
        return !held && !mayBeGranted;
    }
}
