package org.hibiscususher.core.escrow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.hibiscususher.core.message.GroupKind;
import org.hibiscususher.core.message.PeerItem.PermitTarget;
import org.hibiscususher.core.message.PeerItem.PoolEntitlements;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKind;
import org.hibiscususher.core.message.TeamDemand;
import org.hibiscususher.core.message.TeamEntitlement;
import org.hibiscususher.core.world.AllocatorTermRow;
import org.hibiscususher.core.world.LedgerRow;
import org.hibiscususher.core.world.MemberAccount;
import org.hibiscususher.core.world.MemberDemandRow;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.SentAllocationRow;
import org.hibiscususher.core.world.World;

/**
 * Moves the permits of one group towards the entitlements of its members: grants free permits, and
 * sends each member a target that says how many to keep.
 */
final class PermitBalancer {
    /** Constant part of the tolerance by which what a member holds may differ from its part. */
    private static final double TOLERANCE_PERMITS = 0.6;

    /** Part of the tolerance in proportion to the member's part, as a fraction of it. */
    private static final double TOLERANCE_FRACTION = 0.1;

    private final MessageExchange mExchange;
    private final AllocatorTermRow mTerm;
    private final List<MemberKey> mMembers;
    private final Set<MemberKey> mGranted = new LinkedHashSet<>();

    private PermitBalancer(MessageExchange exchange, AllocatorTermRow term) {
        mExchange = exchange;
        mTerm = term;
        mMembers = eligibleMembers(term);
    }

    /**
     * Grants free permits to members below their targets and has those above return permits.
     *
     * @return whether the group is to be balanced again soon: there is demand, or permits are to be
     *     returned
     */
    static boolean run(MessageExchange exchange, AllocatorTermRow term) {
        return new PermitBalancer(exchange, term).run();
    }

    /** Returns the members that may be granted permits: active ones whose claim is known, by id. */
    private static List<MemberKey> eligibleMembers(AllocatorTermRow term) {
        List<MemberKey> members = new ArrayList<>();
        term.memberStatuses()
                .forEach(
                        (member, status) -> {
                            if (status.hasClaimed()
                                    && status.state().mayAllocate()
                                    && status.reclaimAtMs() == AllocatorTermRow.NEVER) {
                                members.add(member);
                            }
                        });
        members.sort(Comparator.comparing(MemberKey::id));
        return members;
    }

    private boolean run() {
        PermitGroup group = mTerm.group();
        Map<MemberKey, List<TeamDemand>> demands = DemandReports.currentByMember(mExchange, group);
        demands.keySet().retainAll(mMembers);
        boolean pool = group.kind() == GroupKind.POOL;
        PermitKind mainKind = pool ? PermitKind.SLOT : PermitKind.UNIT;
        int main = available(mainKind);
        int longRuns = available(PermitKind.LONG_RUN);
        Entitlements entitlements =
                Entitlements.of(group, demands, world().configuration(), main, longRuns);
        int[] longTargets = wholeTargets(PermitKind.LONG_RUN, longRuns, entitlements::longRuns);
        int[] mainTargets =
                wholeTargets(
                        mainKind,
                        main,
                        m -> mainEntitlement(entitlements, m, longTargets[mMembers.indexOf(m)]));
        grant(mainKind, mainTargets);
        grant(PermitKind.LONG_RUN, longTargets);
        boolean returnsExpected = sendTargets(mainKind, mainTargets, longTargets);
        if (pool) {
            sendEntitlements(demands, entitlements);
        }
        return returnsExpected || !demands.isEmpty();
    }

    /**
     * Returns a member's entitlement to slots or units with its long runs counted in whole permits.
     *
     * <p>Targets for long runs are whole numbers. If one is rounded up, the additional long run
     * would otherwise use a slot that quick requests at the member are entitled to.
     */
    private static double mainEntitlement(
            Entitlements entitlements, MemberKey member, int longTarget) {
        double longEntitlement = entitlements.longRuns(member);
        double quickEntitlement = entitlements.main(member) - longEntitlement;
        return quickEntitlement + Math.min(longTarget, Math.ceil(longEntitlement));
    }

    private World world() {
        return mExchange.world();
    }

    private List<LedgerRow> ledgerRows(PermitKind kind) {
        return world().ledger().group(mTerm.group()).stream()
                .filter(r -> r.key().kind() == kind)
                .toList();
    }

    /** Returns how many permits of a kind the eligible members may hold together. */
    private int available(PermitKind kind) {
        int sum = 0;
        for (LedgerRow row : ledgerRows(kind)) {
            int elsewhere = 0;
            for (MemberAccount account : row.accounts()) {
                elsewhere += mMembers.contains(account.member()) ? 0 : account.outstanding();
            }
            sum += Math.max(0, AllocationLedger.limit(world(), mTerm, row) - elsewhere);
        }
        return sum;
    }

    /** Returns how many permits of a kind each eligible member holds at most. */
    private int[] held(PermitKind kind) {
        int[] held = new int[mMembers.size()];
        for (LedgerRow row : ledgerRows(kind)) {
            for (MemberAccount account : row.accounts()) {
                int i = mMembers.indexOf(account.member());
                if (i >= 0) {
                    held[i] += account.outstanding();
                }
            }
        }
        return held;
    }

    /**
     * Returns a whole target for each eligible member; together they make up the available permits.
     *
     * <p>Permits that no member is entitled to are spread evenly. A target stays at what the member
     * holds while that is within a tolerance of its exact part, so that small changes of demand
     * don't move permits to and fro.
     *
     * @param available how many permits of the kind the eligible members may hold together
     * @param entitlement gives the entitlement of a member, in permits
     */
    private int[] wholeTargets(
            PermitKind kind, int available, ToDoubleFunction<MemberKey> entitlement) {
        int n = mMembers.size();
        double[] exact = new double[n];
        double spare = available;
        for (int i = 0; i < n; i++) {
            exact[i] = entitlement.applyAsDouble(mMembers.get(i));
            spare -= exact[i];
        }
        int[] targets = held(kind);
        int sum = 0;
        for (int i = 0; i < n; i++) {
            int minimum = spare >= 1 ? (int) Math.ceil(exact[i]) : exact[i] > 0 ? 1 : 0;
            exact[i] += Math.max(0, spare) / n;
            double tolerance = TOLERANCE_PERMITS + TOLERANCE_FRACTION * exact[i];
            int lowest = Math.max(minimum, (int) Math.ceil(exact[i] - tolerance));
            targets[i] = Math.max(lowest, Math.min((int) (exact[i] + tolerance), targets[i]));
            sum += targets[i];
        }
        for (; sum > available && n > 0; sum--) {
            targets[indexFurthestAbove(targets, exact, 1)]--;
        }
        for (; sum < available && n > 0; sum++) {
            targets[indexFurthestAbove(targets, exact, -1)]++;
        }
        return targets;
    }

    /**
     * Returns the index of the member whose target is furthest above its exact part.
     *
     * @param sign 1, or -1 for the member furthest below
     */
    private static int indexFurthestAbove(int[] targets, double[] exact, int sign) {
        int best = 0;
        for (int i = 1; i < exact.length; i++) {
            if (sign * (targets[i] - exact[i]) > sign * (targets[best] - exact[best])) {
                best = i;
            }
        }
        return best;
    }

    /**
     * Grants free permits one by one, each to the member that lacks most for its target, from the
     * row with the most free ones, which spreads a member's slots over the hosts.
     */
    private void grant(PermitKind kind, int[] targets) {
        int[] missing = held(kind);
        int mostMissing = 0;
        for (int i = 0; i < targets.length; i++) {
            missing[i] = targets[i] - missing[i];
            mostMissing = Math.max(mostMissing, missing[i]);
        }
        if (mostMissing == 0) {
            return;
        }
        List<LedgerRow> rows = ledgerRows(kind);
        int[] free = new int[rows.size()];
        int totalFree = 0;
        for (int i = 0; i < free.length; i++) {
            free[i] = Math.max(0, AllocationLedger.grantable(world(), mTerm, rows.get(i)));
            totalFree += free[i];
        }
        int[][] grants = new int[targets.length][free.length];
        while (totalFree > 0) {
            int member = indexOfLargest(missing);
            if (missing[member] <= 0) {
                break;
            }
            int row = indexOfLargest(free);
            grants[member][row]++;
            missing[member]--;
            free[row]--;
            totalFree--;
        }
        sendGrants(rows, grants);
    }

    private void sendGrants(List<LedgerRow> rows, int[][] grants) {
        for (int i = 0; i < grants.length; i++) {
            MemberKey member = mMembers.get(i);
            long claimEpoch = mTerm.memberStatuses().get(member).claimEpoch();
            for (int row = 0; row < rows.size(); row++) {
                if (grants[i][row] > 0) {
                    mGranted.add(member);
                    AllocationLedger.grant(
                            mExchange, rows.get(row).key(), member, claimEpoch, grants[i][row]);
                }
            }
        }
    }

    private static int indexOfLargest(int[] values) {
        int best = 0;
        for (int i = 1; i < values.length; i++) {
            best = values[i] > values[best] ? i : best;
        }
        return best;
    }

    /**
     * Sends targets to members that hold more than theirs, and to members that were just granted
     * permits: a lower target sent before would make them return the grant. A member that was never
     * sent a target gets one in any case, as it acknowledges the member's claim.
     *
     * @return whether any member has permits to return
     */
    private boolean sendTargets(PermitKind mainKind, int[] main, int[] longRuns) {
        int[] mainHeld = held(mainKind);
        int[] longHeld = held(PermitKind.LONG_RUN);
        boolean returnsExpected = false;
        for (int i = 0; i < main.length; i++) {
            boolean above = mainHeld[i] > main[i] || longHeld[i] > longRuns[i];
            returnsExpected |= above;
            SentAllocationRow last = lastSent(mMembers.get(i));
            boolean changed = last.mainTarget() != main[i] || last.longRunTarget() != longRuns[i];
            boolean stale =
                    mExchange.nowMs() - last.targetsSentMs() >= EscrowTiming.REFRESH_INTERVAL_MS;
            boolean due = above && (changed || stale) || mGranted.contains(mMembers.get(i));
            if (last.targetsSentMs() < 0 || due) {
                sendTarget(last, main[i], longRuns[i]);
            }
        }
        for (MemberKey member : membersToDrain()) {
            SentAllocationRow last = lastSent(member);
            boolean stale =
                    mExchange.nowMs() - last.targetsSentMs() >= EscrowTiming.REFRESH_INTERVAL_MS;
            if (last.targetsSentMs() < 0 || stale) {
                sendTarget(last, 0, 0);
            }
            returnsExpected = true;
        }
        return returnsExpected;
    }

    /**
     * Returns the members that have sent a claim and are to return everything: those whose process
     * may run but whose state, leaving or silent, allows them no new permits.
     */
    private List<MemberKey> membersToDrain() {
        return mTerm.memberStatuses().entrySet().stream()
                .filter(e -> e.getValue().hasClaimed() && !e.getValue().state().mayAllocate())
                .filter(e -> e.getValue().reclaimAtMs() == AllocatorTermRow.NEVER)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the targets and entitlements last sent to a member. */
    private SentAllocationRow lastSent(MemberKey member) {
        MemberDemandRow.Key key = DemandReports.keyOf(mTerm.group(), member);
        return world().sentAllocations()
                .find(key)
                .orElse(new SentAllocationRow(key, -1, List.of(), -1, 0, 0));
    }

    private void sendTarget(SentAllocationRow last, int main, int longRuns) {
        MemberKey member = last.key().member();
        long claimEpoch = mTerm.memberStatuses().get(member).claimEpoch();
        world().sentAllocations()
                .put(
                        last.key(),
                        new SentAllocationRow(
                                last.key(),
                                last.entitlementsSentMs(),
                                last.entitlements(),
                                mExchange.nowMs(),
                                main,
                                longRuns));
        mExchange.send(member, new PermitTarget(claimEpoch, mTerm.group(), main, longRuns));
    }

    /** Sends the teams' entitlements to the members where requests wait. */
    private void sendEntitlements(
            Map<MemberKey, List<TeamDemand>> demands, Entitlements entitlements) {
        demands.forEach(
                (member, teams) -> {
                    if (teams.stream().anyMatch(t -> t.quickWaiting() + t.longWaiting() > 0)) {
                        sendEntitlements(member, entitlements.teams(member));
                    }
                });
    }

    private void sendEntitlements(MemberKey member, List<TeamEntitlement> teams) {
        SentAllocationRow last = lastSent(member);
        long ageMs = mExchange.nowMs() - last.entitlementsSentMs();
        boolean due =
                last.entitlements().equals(teams)
                        ? ageMs >= EscrowTiming.REFRESH_INTERVAL_MS
                        : ageMs >= EscrowTiming.ENTITLEMENT_INTERVAL_MS;
        if (last.entitlementsSentMs() < 0 || due) {
            world().sentAllocations()
                    .put(
                            last.key(),
                            new SentAllocationRow(
                                    last.key(),
                                    mExchange.nowMs(),
                                    teams,
                                    last.targetsSentMs(),
                                    last.mainTarget(),
                                    last.longRunTarget()));
            mExchange.send(member, new PoolEntitlements(mTerm.group().name(), teams));
        }
    }
}
