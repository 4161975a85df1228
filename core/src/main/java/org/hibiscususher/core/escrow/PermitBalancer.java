package org.hibiscususher.core.escrow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.hibiscususher.core.message.GroupKind;
import org.hibiscususher.core.message.PeerItem.Dues;
import org.hibiscususher.core.message.PeerItem.Target;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKind;
import org.hibiscususher.core.message.TeamDemand;
import org.hibiscususher.core.message.TeamDue;
import org.hibiscususher.core.world.Account;
import org.hibiscususher.core.world.AdviceRow;
import org.hibiscususher.core.world.DemandRow;
import org.hibiscususher.core.world.LedgerRow;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.TenureRow;
import org.hibiscususher.core.world.World;

/** Moves the permits of one group towards what its members are due. */
final class PermitBalancer {
    private static final double SLACK_SLOTS = 0.6;
    private static final double SLACK_PART = 0.1;

    private final MessageExchange mExchange;
    private final TenureRow mTenure;
    private final List<MemberKey> mMembers;
    private final Set<MemberKey> mGranted = new LinkedHashSet<>();

    private PermitBalancer(MessageExchange exchange, TenureRow tenure) {
        mExchange = exchange;
        mTenure = tenure;
        mMembers = eligibleMembers(tenure);
    }

    /**
     * Grants what is free to members below their targets and tells those above to return permits.
     *
     * @return whether the group needs to be looked at again soon
     */
    static boolean run(MessageExchange exchange, TenureRow tenure) {
        return new PermitBalancer(exchange, tenure).run();
    }

    private static List<MemberKey> eligibleMembers(TenureRow tenure) {
        List<MemberKey> members = new ArrayList<>();
        tenure.answers()
                .forEach(
                        (member, answer) -> {
                            if (answer.known()
                                    && answer.state().allocates()
                                    && answer.restUntilMs() == TenureRow.NEVER) {
                                members.add(member);
                            }
                        });
        members.sort(Comparator.comparing(MemberKey::id));
        return members;
    }

    private boolean run() {
        PermitGroup group = mTenure.group();
        Map<MemberKey, List<TeamDemand>> demands = DemandReports.currentByMember(mExchange, group);
        demands.keySet().retainAll(mMembers);
        boolean pool = group.kind() == GroupKind.POOL;
        PermitKind mainKind = pool ? PermitKind.SLOT : PermitKind.UNIT;
        int main = available(mainKind);
        int longRuns = available(PermitKind.LONG_RUN);
        Entitlements fairness =
                Entitlements.of(group, demands, world().configuration(), main, longRuns);
        int[] longTargets = wholeTargets(PermitKind.LONG_RUN, longRuns, fairness::longRuns);
        int[] mainTargets =
                wholeTargets(
                        mainKind,
                        main,
                        m -> mainEntitlement(fairness, m, longTargets[mMembers.indexOf(m)]));
        grant(mainKind, mainTargets);
        grant(PermitKind.LONG_RUN, longTargets);
        boolean recalls = sendTargets(mainKind, mainTargets, longTargets);
        if (pool) {
            sendEntitlements(demands, fairness);
        }
        return recalls || !demands.isEmpty();
    }

    /**
     * Returns how many main permits a member is due when its long work takes whole ones.
     *
     * <p>Long targets are whole numbers; a member whose long work is rounded up would otherwise use
     * the slots that are due to quick work there.
     */
    private static double mainEntitlement(Entitlements fairness, MemberKey member, int longTarget) {
        double longDue = fairness.longRuns(member);
        double quickDue = fairness.main(member) - longDue;
        return quickDue + Math.min(longTarget, Math.ceil(longDue));
    }

    private World world() {
        return mExchange.world();
    }

    private List<LedgerRow> ledgerRows(PermitKind kind) {
        return world().ledger().group(mTenure.group()).stream()
                .filter(r -> r.key().kind() == kind)
                .toList();
    }

    /** Returns how many permits the eligible members may hold in all. */
    private int available(PermitKind kind) {
        int sum = 0;
        for (LedgerRow row : ledgerRows(kind)) {
            int elsewhere = 0;
            for (Account account : row.accounts()) {
                elsewhere += mMembers.contains(account.member()) ? 0 : account.outstanding();
            }
            sum += Math.max(0, AllocationLedger.limit(world(), mTenure, row) - elsewhere);
        }
        return sum;
    }

    private int[] held(PermitKind kind) {
        int[] held = new int[mMembers.size()];
        for (LedgerRow row : ledgerRows(kind)) {
            for (Account account : row.accounts()) {
                int i = mMembers.indexOf(account.member());
                if (i >= 0) {
                    held[i] += account.outstanding();
                }
            }
        }
        return held;
    }

    /**
     * Returns whole targets that add up to what there is, as near to what is held as the dues
     * allow; what nobody is due is spread evenly.
     */
    private int[] wholeTargets(PermitKind kind, int available, ToDoubleFunction<MemberKey> due) {
        int n = mMembers.size();
        double[] exact = new double[n];
        double spare = available;
        for (int i = 0; i < n; i++) {
            exact[i] = due.applyAsDouble(mMembers.get(i));
            spare -= exact[i];
        }
        int[] targets = held(kind);
        int sum = 0;
        for (int i = 0; i < n; i++) {
            int least = spare >= 1 ? (int) Math.ceil(exact[i]) : exact[i] > 0 ? 1 : 0;
            exact[i] += Math.max(0, spare) / n;
            double slack = SLACK_SLOTS + SLACK_PART * exact[i];
            int low = Math.max(least, (int) Math.ceil(exact[i] - slack));
            targets[i] = Math.max(low, Math.min((int) (exact[i] + slack), targets[i]));
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

    /** Returns the member furthest above what it is due, or with sign -1 furthest below. */
    private static int indexFurthestAbove(int[] targets, double[] exact, int sign) {
        int best = 0;
        for (int i = 1; i < exact.length; i++) {
            if (sign * (targets[i] - exact[i]) > sign * (targets[best] - exact[best])) {
                best = i;
            }
        }
        return best;
    }

    private void grant(PermitKind kind, int[] targets) {
        int[] missing = held(kind);
        int most = 0;
        for (int i = 0; i < targets.length; i++) {
            missing[i] = targets[i] - missing[i];
            most = Math.max(most, missing[i]);
        }
        if (most == 0) {
            return;
        }
        List<LedgerRow> rows = ledgerRows(kind);
        int[] free = new int[rows.size()];
        int freeInAll = 0;
        for (int i = 0; i < free.length; i++) {
            free[i] = Math.max(0, AllocationLedger.grantable(world(), mTenure, rows.get(i)));
            freeInAll += free[i];
        }
        int[][] grants = new int[targets.length][free.length];
        while (freeInAll > 0) {
            int member = indexOfLargest(missing);
            if (missing[member] <= 0) {
                break;
            }
            int row = indexOfLargest(free);
            grants[member][row]++;
            missing[member]--;
            free[row]--;
            freeInAll--;
        }
        sendGrants(rows, grants);
    }

    private void sendGrants(List<LedgerRow> rows, int[][] grants) {
        for (int i = 0; i < grants.length; i++) {
            MemberKey member = mMembers.get(i);
            long basis = mTenure.answers().get(member).basis();
            for (int row = 0; row < rows.size(); row++) {
                if (grants[i][row] > 0) {
                    mGranted.add(member);
                    AllocationLedger.grant(
                            mExchange, rows.get(row).key(), member, basis, grants[i][row]);
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
     * Tells targets to members that would otherwise keep too much, and with each grant, so that a
     * lower target that came before does not make the member return the grant.
     */
    private boolean sendTargets(PermitKind mainKind, int[] main, int[] longRuns) {
        int[] mainHeld = held(mainKind);
        int[] longHeld = held(PermitKind.LONG_RUN);
        boolean recalls = false;
        for (int i = 0; i < main.length; i++) {
            boolean above = mainHeld[i] > main[i] || longHeld[i] > longRuns[i];
            recalls |= above;
            AdviceRow before = lastSent(mMembers.get(i));
            boolean changed = before.main() != main[i] || before.longRuns() != longRuns[i];
            boolean old = mExchange.nowMs() - before.targetMs() >= EscrowTiming.REFRESH_MS;
            boolean due = above && (changed || old) || mGranted.contains(mMembers.get(i));
            if (before.targetMs() < 0 || due) {
                sendTarget(before, main[i], longRuns[i]);
            }
        }
        for (MemberKey leaving : membersToDrain()) {
            AdviceRow before = lastSent(leaving);
            boolean old = mExchange.nowMs() - before.targetMs() >= EscrowTiming.REFRESH_MS;
            if (before.targetMs() < 0 || old) {
                sendTarget(before, 0, 0);
            }
            recalls = true;
        }
        return recalls;
    }

    /** Returns the members that live, have answered and shall keep nothing. */
    private List<MemberKey> membersToDrain() {
        return mTenure.answers().entrySet().stream()
                .filter(e -> e.getValue().known() && !e.getValue().state().allocates())
                .filter(e -> e.getValue().restUntilMs() == TenureRow.NEVER)
                .map(Map.Entry::getKey)
                .toList();
    }

    private AdviceRow lastSent(MemberKey member) {
        DemandRow.Key key = DemandReports.keyOf(mTenure.group(), member);
        return world().advice().find(key).orElse(new AdviceRow(key, -1, List.of(), -1, 0, 0));
    }

    private void sendTarget(AdviceRow before, int main, int longRuns) {
        MemberKey member = before.key().member();
        long basis = mTenure.answers().get(member).basis();
        world().advice()
                .put(
                        before.key(),
                        new AdviceRow(
                                before.key(),
                                before.duesMs(),
                                before.teams(),
                                mExchange.nowMs(),
                                main,
                                longRuns));
        mExchange.send(member, new Target(basis, mTenure.group(), main, longRuns));
    }

    private void sendEntitlements(Map<MemberKey, List<TeamDemand>> demands, Entitlements fairness) {
        demands.forEach(
                (member, teams) -> {
                    if (teams.stream().anyMatch(t -> t.quickWaiting() + t.longWaiting() > 0)) {
                        sendEntitlements(member, fairness.teams(member));
                    }
                });
    }

    private void sendEntitlements(MemberKey member, List<TeamDue> dues) {
        AdviceRow before = lastSent(member);
        long ageMs = mExchange.nowMs() - before.duesMs();
        boolean due =
                before.teams().equals(dues)
                        ? ageMs >= EscrowTiming.REFRESH_MS
                        : ageMs >= EscrowTiming.DUES_MS;
        if (before.duesMs() < 0 || due) {
            world().advice()
                    .put(
                            before.key(),
                            new AdviceRow(
                                    before.key(),
                                    mExchange.nowMs(),
                                    dues,
                                    before.targetMs(),
                                    before.main(),
                                    before.longRuns()));
            mExchange.send(member, new Dues(mTenure.group().name(), dues));
        }
    }
}
