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
 * The groups that this entry allocates.
 *
 * <p>A tenure lasts while each membership record seen names this entry as the group's allocator.
 * Until every member that may hold permits of the group has claimed under a basis no older than the
 * tenure, what is unclaimed counts as held.
 */
final class Tenures {
    private Tenures() {}

    /** Begins, goes on with and ends tenures as the newest membership record demands. */
    static void follow(Exchange exchange) {
        World world = exchange.world();
        MembershipRecord record = world.membership().record();
        Map<MemberKey, MemberState> listed = new LinkedHashMap<>();
        for (Member member : record.members()) {
            listed.put(new MemberKey(member.id(), member.incarnation()), member.state());
        }
        for (TenureRow tenure : world.tenures().rows()) {
            if (own(exchange, tenure.group(), record)) {
                world.tenures().put(tenure.group(), goOn(exchange, tenure, listed));
            } else {
                end(world, tenure.group());
            }
        }
        for (PermitGroup group : world.totals().groups()) {
            if (!world.tenures().contains(group) && own(exchange, group, record)) {
                begin(exchange, group, record.epoch(), listed);
            }
        }
    }

    private static boolean own(Exchange exchange, PermitGroup group, MembershipRecord record) {
        return Attachments.allocatorOf(group, record).equals(Optional.of(exchange.self()));
    }

    private static void begin(
            Exchange exchange, PermitGroup group, long epoch, Map<MemberKey, MemberState> listed) {
        Map<MemberKey, Answer> answers = new LinkedHashMap<>();
        listed.forEach(
                (member, state) ->
                        answers.put(member, new Answer(-1, state, restUntil(exchange, state))));
        exchange.world().tenures().put(group, new TenureRow(group, epoch, answers, 0, -1));
    }

    private static long restUntil(Exchange exchange, MemberState state) {
        return state.mayHold()
                ? TenureRow.NEVER
                : exchange.nowMs() + exchange.world().escrow().longestRunMs();
    }

    private static void end(World world, PermitGroup group) {
        world.tenures().remove(group);
        for (LedgerRow row : List.copyOf(world.ledger().group(group))) {
            world.ledger().remove(row.key());
        }
        world.demands().removeIf(d -> d.key().group().equals(group));
        world.advice().removeIf(a -> a.key().group().equals(group));
    }

    private static TenureRow goOn(
            Exchange exchange, TenureRow tenure, Map<MemberKey, MemberState> listed) {
        TenureRow changed = tenure.withDue(0);
        for (Map.Entry<MemberKey, Answer> entry : tenure.answers().entrySet()) {
            MemberKey member = entry.getKey();
            Answer answer = entry.getValue();
            MemberState state = listed.get(member);
            if (state == null && answer.state().provenOver()) {
                changed = forget(exchange.world(), changed, member);
            } else {
                changed = changed.withAnswer(member, renewed(exchange, answer, state));
            }
        }
        return changed;
    }

    /** Returns what is known of a member that is listed in a state, or no longer (null). */
    private static Answer renewed(Exchange exchange, Answer answer, MemberState state) {
        MemberState resting = state == null ? MemberState.DEAD : state;
        long rest =
                answer.restUntilMs() == TenureRow.NEVER
                        ? restUntil(exchange, resting)
                        : answer.restUntilMs();
        return new Answer(answer.basis(), state == null ? answer.state() : state, rest);
    }

    /** Frees what a member held. */
    private static TenureRow forget(World world, TenureRow tenure, MemberKey member) {
        for (LedgerRow row : List.copyOf(world.ledger().group(tenure.group()))) {
            if (row.account(member).isPresent()) {
                world.ledger().put(row.key(), row.without(member));
            }
        }
        return tenure.without(member);
    }

    /** Takes in a claim of a member of the record and acknowledges it with targets. */
    static void claimed(Exchange exchange, MemberKey from, Claim claim) {
        World world = exchange.world();
        Optional<TenureRow> found = world.tenures().find(claim.group());
        if (found.isEmpty() || claim.basis() < found.get().sinceEpoch() || !mayClaim(world, from)) {
            return;
        }
        TenureRow tenure = found.get();
        Ledgers.open(world, tenure);
        Answer before = tenure.answers().get(from);
        if (before == null || before.basis() < claim.basis()) {
            boolean first = before == null || !before.known();
            enter(world, claim, from, first && before != null);
            MemberState state = before == null ? MemberState.ACTIVE : before.state();
            long rest = before == null ? TenureRow.NEVER : before.restUntilMs();
            tenure = tenure.withAnswer(from, new Answer(claim.basis(), state, rest));
        }
        world.advice().remove(Demands.keyOf(claim.group(), from));
        world.tenures().put(claim.group(), tenure.withDue(exchange.nowMs()));
    }

    private static boolean mayClaim(World world, MemberKey member) {
        return world.membership().record().members().stream()
                .anyMatch(
                        m ->
                                m.id().equals(member.id())
                                        && m.incarnation() == member.incarnation()
                                        && m.state().mayHold());
    }

    private static void enter(World world, Claim claim, MemberKey from, boolean fromUnclaimed) {
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
            Totals.raiseHighest(world, key, permit.highest());
            LedgerRow row = world.ledger().find(key).orElseThrow();
            if (permit.held() > 0) {
                row = row.withAccount(Account.of(from, claim.basis(), permit.held()));
            }
            world.ledger().put(key, fromUnclaimed ? row.withUnclaimed(-permit.held()) : row);
        }
    }

    /** Looks at the groups that are due: asks for claims, frees what has rested, and balances. */
    static void pass(Exchange exchange) {
        for (TenureRow row : exchange.world().tenures().rows()) {
            if (row.dueMs() <= exchange.nowMs()) {
                pass(exchange, row);
            }
        }
    }

    private static void pass(Exchange exchange, TenureRow row) {
        World world = exchange.world();
        Ledgers.open(world, row);
        TenureRow tenure = endRests(exchange, row);
        tenure = ask(exchange, tenure);
        world.tenures().put(tenure.group(), tenure);
        boolean active = Balance.run(exchange, tenure);
        boolean unseen = Ledgers.resend(exchange, tenure);
        long next = TenureRow.NEVER;
        for (Answer answer : tenure.answers().values()) {
            next = Math.min(next, answer.restUntilMs());
        }
        if (active || unseen || tenure.inDoubt()) {
            next = Math.min(next, exchange.nowMs() + EscrowTiming.RESEND_MS);
        }
        world.tenures().put(tenure.group(), tenure.withNextDue(next));
    }

    private static TenureRow endRests(Exchange exchange, TenureRow row) {
        TenureRow tenure = row;
        for (Map.Entry<MemberKey, Answer> entry : row.answers().entrySet()) {
            if (entry.getValue().restUntilMs() <= exchange.nowMs()) {
                tenure = forget(exchange.world(), tenure, entry.getKey());
            }
        }
        return tenure;
    }

    private static TenureRow ask(Exchange exchange, TenureRow tenure) {
        boolean due =
                tenure.askedMs() < 0
                        || exchange.nowMs() - tenure.askedMs() >= EscrowTiming.ASK_AGAIN_MS;
        if (!due || !tenure.inDoubt()) {
            return tenure;
        }
        tenure.answers()
                .forEach(
                        (member, answer) -> {
                            if (!answer.known() && hears(exchange, member)) {
                                exchange.send(
                                        member,
                                        new ClaimAsked(tenure.sinceEpoch(), tenure.group()));
                            }
                        });
        return tenure.withAsked(exchange.nowMs());
    }

    private static boolean hears(Exchange exchange, MemberKey member) {
        World world = exchange.world();
        Optional<MemberRow> row = world.members().find(member.id());
        return member.equals(exchange.self())
                || row.filter(m -> m.member().incarnation() == member.incarnation())
                        .map(m -> exchange.nowMs() - m.lastHeardMs() < world.settings().silenceMs())
                        .orElse(false);
    }

    /** Returns whether nothing of a permit is held, in doubt or resting. */
    static boolean allReturned(World world, PermitKey key) {
        Optional<TenureRow> tenure = world.tenures().find(key.permitGroup());
        if (tenure.isEmpty() || tenure.get().inDoubt()) {
            return false;
        }
        boolean out = world.ledger().find(key).map(l -> l.outstanding() > 0).orElse(false);
        boolean open = world.totals().find(key).map(TotalRow::total).orElse(0) > 0;
        return !out && !open;
    }
}
