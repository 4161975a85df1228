package org.hibiscususher.core.request;

import java.util.Optional;
import org.hibiscususher.core.membership.RendezvousHash;
import org.hibiscususher.core.message.IdempotencyClaimResult;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.PeerItem.IdempotencyClaim;
import org.hibiscususher.core.message.PeerItem.IdempotencyClaimReply;
import org.hibiscususher.core.message.PeerItem.IdempotencyRelease;
import org.hibiscususher.core.message.PeerItem.IdempotencyReleaseAck;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.world.CoordinatorTermRow;
import org.hibiscususher.core.world.FormerCoordinatorRow;
import org.hibiscususher.core.world.IdempotencyKey;
import org.hibiscususher.core.world.IdempotencyKeyRow;
import org.hibiscususher.core.world.NodeRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * The home of idempotency keys: remembers them for a while and says whether one is new.
 *
 * <p>At any time at most one process grants a key. The home grants it only if every process that
 * may have been its home before is known to grant it no more, and only if the key was made after
 * that: an earlier home has then never seen it.
 */
final class IdempotencyKeyCoordinator {
    /** How long keys are remembered, counted from their own time. */
    private static final long WINDOW_MS = 300_000;

    /** How far a key's time may lie ahead of this entry's clock. */
    private static final long MAX_AHEAD_MS = 3_000;

    /** How far the clocks of two entries may lie apart. */
    private static final long MAX_CLOCKS_APART_MS = 2_000;

    private static final long MARGIN_MS = MAX_AHEAD_MS + MAX_CLOCKS_APART_MS;
    private static final long SWEEP_INTERVAL_MS = 10_000;
    private static final int MAX_KEYS = 65_536;

    private IdempotencyKeyCoordinator() {}

    /** Answers the claim of another entry. */
    static void onClaim(Tick tick, PeerMessage message, IdempotencyClaim asked) {
        IdempotencyKey key = new IdempotencyKey(asked.high(), asked.low());
        Optional<IdempotencyClaimResult> result;
        if (Math.abs(asked.sentMs() - tick.nowMs()) > MAX_CLOCKS_APART_MS) {
            tick.count("once.clocks-apart");
            result = Optional.of(IdempotencyClaimResult.NOT_VOUCHED);
        } else {
            result = claim(tick, key, message.from(), message.incarnation(), asked.requestId());
        }
        result.ifPresent(
                r ->
                        tick.send(
                                message.from(),
                                new IdempotencyClaimReply(
                                        message.incarnation(),
                                        asked.requestId(),
                                        asked.high(),
                                        asked.low(),
                                        r)));
    }

    /** Takes back a key for another entry. */
    static void onRelease(Tick tick, PeerMessage message, IdempotencyRelease released) {
        IdempotencyKey key = new IdempotencyKey(released.high(), released.low());
        release(tick, key, message.from(), message.incarnation(), released.requestId());
        tick.send(
                message.from(),
                new IdempotencyReleaseAck(message.incarnation(), released.requestId()));
    }

    /** Returns the answer to a claim, or empty if this entry is not the key's home. */
    static Optional<IdempotencyClaimResult> claim(
            Tick tick, IdempotencyKey key, String member, long incarnation, long requestId) {
        World world = tick.world();
        String self = world.node().identity().id();
        Optional<String> home =
                RendezvousHash.choose(key.hashedName(), world.membership().record());
        if (!home.equals(Optional.of(self))) {
            return Optional.empty();
        }
        Optional<IdempotencyKeyRow> known = world.idempotencyKeys().find(key);
        IdempotencyClaimResult result;
        if (known.isPresent() && known.get().isClaimedBy(member, incarnation, requestId)) {
            result =
                    known.get().released()
                            ? IdempotencyClaimResult.DUPLICATE
                            : IdempotencyClaimResult.GRANTED;
        } else if (known.isPresent() && !known.get().released()) {
            result = IdempotencyClaimResult.DUPLICATE;
        } else if (!vouchesFor(tick, key)) {
            result = IdempotencyClaimResult.NOT_VOUCHED;
        } else {
            IdempotencyKeyRow row =
                    new IdempotencyKeyRow(key, member, incarnation, requestId, false);
            world.idempotencyKeys().put(key, row);
            result = IdempotencyClaimResult.GRANTED;
        }
        tick.count("once." + result.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'));
        return Optional.of(result);
    }

    /** Lets a key be claimed again whose request ended without a run. */
    static void release(
            Tick tick, IdempotencyKey key, String member, long incarnation, long requestId) {
        tick.world()
                .idempotencyKeys()
                .find(key)
                .filter(k -> k.isClaimedBy(member, incarnation, requestId))
                .ifPresent(k -> tick.world().idempotencyKeys().put(key, k.withReleased()));
    }

    private static boolean vouchesFor(Tick tick, IdempotencyKey key) {
        World world = tick.world();
        long sinceMs = world.coordinatorTerm().sinceMs();
        if (sinceMs < 0 || world.idempotencyKeys().size() >= MAX_KEYS) {
            return false;
        }
        String self = world.node().identity().id();
        for (FormerCoordinatorRow former : world.formerCoordinators().rows()) {
            if (!RendezvousHash.ranksAbove(former.id(), self, key.hashedName())) {
                continue;
            }
            if (!former.hasStopped()) {
                return false;
            }
            sinceMs = Math.max(sinceMs, former.stoppedMs());
        }
        return key.timeMs() >= sinceMs + MARGIN_MS
                && key.timeMs() >= tick.nowMs() - WINDOW_MS
                && key.timeMs() <= tick.nowMs() + MAX_AHEAD_MS;
    }

    /** Follows the membership record, and forgets old keys now and then. */
    static void run(Tick tick) {
        follow(tick);
        settle(tick);
        World world = tick.world();
        if (tick.nowMs() - world.coordinatorTerm().sweptMs() >= SWEEP_INTERVAL_MS) {
            long oldestMs = tick.nowMs() - WINDOW_MS;
            world.idempotencyKeys().removeIf(k -> k.key().timeMs() < oldestMs);
            world.formerCoordinators().removeIf(f -> f.hasStopped() && f.stoppedMs() < oldestMs);
            world.coordinatorTermTable().update(World.SELF, t -> t.withSwept(tick.nowMs()));
        }
    }

    private static void follow(Tick tick) {
        World world = tick.world();
        CoordinatorTermRow tenure = world.coordinatorTerm();
        NodeRow node = world.node();
        long epoch = world.membership().record().epoch();
        boolean missedOne = epoch > tenure.epoch() + 1;
        boolean activeAnew = node.activeEpoch() != 0 && node.activeEpoch() > tenure.requiredEpoch();
        if (missedOne || activeAnew || node.activeEpoch() == 0) {
            long basis = node.activeEpoch() == 0 ? 0 : epoch;
            world.coordinatorTermTable()
                    .put(World.SELF, tenure.withRequiredEpoch(basis).withEpoch(epoch));
            world.formerCoordinators().clear();
        } else if (epoch != tenure.epoch()) {
            world.coordinatorTermTable().put(World.SELF, tenure.withEpoch(epoch));
        }
        if (epoch != tenure.epoch()) {
            noteFormerHomes(tick, epoch);
        }
    }

    private static void noteFormerHomes(Tick tick, long epoch) {
        World world = tick.world();
        for (Member member : world.membership().record().members()) {
            String id = member.id();
            if (id.equals(world.node().identity().id())) {
                continue;
            }
            if (isActive(world, id)) {
                world.formerCoordinators().remove(id);
            } else if (!world.formerCoordinators().contains(id)) {
                world.formerCoordinators().put(id, new FormerCoordinatorRow(id, epoch, -1));
            }
        }
    }

    private static boolean isActive(World world, String id) {
        return world.members()
                .find(id)
                .filter(m -> m.member().state() == MemberState.ACTIVE)
                .isPresent();
    }

    /** Notes who is by now known to have heard that it is no home any more. */
    private static void settle(Tick tick) {
        World world = tick.world();
        CoordinatorTermRow tenure = world.coordinatorTerm();
        if (tenure.requiredEpoch() > 0 && tenure.sinceMs() < 0) {
            boolean known =
                    world.members().rows().stream()
                            .allMatch(m -> m.epoch() >= tenure.requiredEpoch());
            if (known) {
                world.coordinatorTermTable().put(World.SELF, tenure.withSince(tick.nowMs()));
            }
        }
        for (FormerCoordinatorRow former : world.formerCoordinators().rows()) {
            if (!former.hasStopped() && grantsNoMore(world, former)) {
                FormerCoordinatorRow settled =
                        new FormerCoordinatorRow(former.id(), former.epoch(), tick.nowMs());
                world.formerCoordinators().put(former.id(), settled);
            }
        }
    }

    private static boolean grantsNoMore(World world, FormerCoordinatorRow former) {
        return world.members().find(former.id()).map(m -> m.epoch() >= former.epoch()).orElse(true);
    }
}
