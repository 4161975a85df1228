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
 * The coordinator of the idempotency keys that are hashed to this entry: decides whether a key is
 * new, and remembers the keys that it has granted for a time.
 *
 * <p>At any time at most one process may grant a key: a key that is granted twice runs its request
 * twice. The hazard is a change of the membership. The new coordinator of a key does not know what
 * the earlier one granted, and the earlier one may not have learnt yet that it has been replaced.
 *
 * <p>The coordinator therefore grants a key only if every process that may have been the key's
 * coordinator before is known to have stopped granting it, and only if the key was made after that,
 * by the timestamp that it carries: an earlier coordinator can then not have granted it. Any other
 * key is answered with {@link IdempotencyClaimResult#NOT_VOUCHED}.
 */
final class IdempotencyKeyCoordinator {
    /** How long keys are remembered, in milliseconds since the timestamp that they carry. */
    private static final long WINDOW_MS = 300_000;

    /** How far a key's timestamp may be ahead of this entry's clock, in milliseconds. */
    private static final long MAX_AHEAD_MS = 3_000;

    /** Largest tolerated difference between the clocks of two entries, in milliseconds. */
    private static final long MAX_CLOCKS_APART_MS = 2_000;

    /**
     * How much later than the stop of the earlier coordinators a key must have been made, in
     * milliseconds. It covers a key whose timestamp is ahead of the clock of the entry that granted
     * it, and the difference between that clock and this entry's.
     */
    private static final long MARGIN_MS = MAX_AHEAD_MS + MAX_CLOCKS_APART_MS;

    private static final long SWEEP_INTERVAL_MS = 10_000;

    /** Keys that are remembered at most, which bounds the memory; beyond it none is granted. */
    private static final int MAX_KEYS = 65_536;

    private IdempotencyKeyCoordinator() {}

    /** Answers the claim of another entry, unless this entry is not the key's coordinator. */
    static void onClaim(Tick tick, PeerMessage message, IdempotencyClaim claim) {
        IdempotencyKey key = new IdempotencyKey(claim.high(), claim.low());
        Optional<IdempotencyClaimResult> result;
        if (Math.abs(claim.sentMs() - tick.nowMs()) > MAX_CLOCKS_APART_MS) {
            tick.count("once.clocks-apart");
            result = Optional.of(IdempotencyClaimResult.NOT_VOUCHED);
        } else {
            result = claim(tick, key, message.from(), message.incarnation(), claim.requestId());
        }
        result.ifPresent(
                r ->
                        tick.send(
                                message.from(),
                                new IdempotencyClaimReply(
                                        message.incarnation(),
                                        claim.requestId(),
                                        claim.high(),
                                        claim.low(),
                                        r)));
    }

    /** Releases a key for another entry and acknowledges it, even if the key is not known. */
    static void onRelease(Tick tick, PeerMessage message, IdempotencyRelease release) {
        IdempotencyKey key = new IdempotencyKey(release.high(), release.low());
        release(tick, key, message.from(), message.incarnation(), release.requestId());
        tick.send(
                message.from(),
                new IdempotencyReleaseAck(message.incarnation(), release.requestId()));
    }

    /**
     * Returns the answer to a claim, or empty if this entry is not the key's coordinator.
     *
     * <p>A repeated claim of the request that was granted the key is granted again, as the first
     * answer may have been lost; after that request's release it is a duplicate.
     *
     * @param key the key
     * @param member id of the member that makes the claim
     * @param incarnation incarnation of that member
     * @param requestId the request there
     */
    static Optional<IdempotencyClaimResult> claim(
            Tick tick, IdempotencyKey key, String member, long incarnation, long requestId) {
        World world = tick.world();
        String self = world.node().identity().id();
        Optional<String> coordinator =
                RendezvousHash.choose(key.hashedName(), world.membership().record());
        if (!coordinator.equals(Optional.of(self))) {
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
        } else if (!mayGrant(tick, key)) {
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

    /** Makes a key claimable again after the request that was granted it ended without a run. */
    static void release(
            Tick tick, IdempotencyKey key, String member, long incarnation, long requestId) {
        tick.world()
                .idempotencyKeys()
                .find(key)
                .filter(k -> k.isClaimedBy(member, incarnation, requestId))
                .ifPresent(k -> tick.world().idempotencyKeys().put(key, k.withReleased()));
    }

    /** Returns whether a key that is not known here is certainly new and can be remembered. */
    private static boolean mayGrant(Tick tick, IdempotencyKey key) {
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

    /** Applies changes of the membership, and removes expired keys at intervals. */
    static void run(Tick tick) {
        applyMembership(tick);
        recordStops(tick);
        World world = tick.world();
        if (tick.nowMs() - world.coordinatorTerm().sweptMs() >= SWEEP_INTERVAL_MS) {
            long oldestMs = tick.nowMs() - WINDOW_MS;
            world.idempotencyKeys().removeIf(k -> k.key().timeMs() < oldestMs);
            world.formerCoordinators().removeIf(f -> f.hasStopped() && f.stoppedMs() < oldestMs);
            world.coordinatorTermTable().update(World.SELF, t -> t.withSwept(tick.nowMs()));
        }
    }

    /**
     * Applies the membership record.
     *
     * <p>The time for which this entry vouches begins anew when it becomes active, or when it has
     * missed an epoch: it cannot know which members may have been coordinators in that epoch.
     */
    private static void applyMembership(Tick tick) {
        World world = tick.world();
        CoordinatorTermRow term = world.coordinatorTerm();
        NodeRow node = world.node();
        long epoch = world.membership().record().epoch();
        boolean missedEpoch = epoch > term.epoch() + 1;
        boolean newlyActive = node.activeEpoch() != 0 && node.activeEpoch() > term.requiredEpoch();
        if (missedEpoch || newlyActive || node.activeEpoch() == 0) {
            long requiredEpoch = node.activeEpoch() == 0 ? 0 : epoch;
            world.coordinatorTermTable()
                    .put(World.SELF, term.withRequiredEpoch(requiredEpoch).withEpoch(epoch));
            world.formerCoordinators().clear();
        } else if (epoch != term.epoch()) {
            world.coordinatorTermTable().put(World.SELF, term.withEpoch(epoch));
        }
        if (epoch != term.epoch()) {
            updateFormerCoordinators(tick, epoch);
        }
    }

    /**
     * Adds the members that are not active to the former coordinators, and removes those that are
     * active again.
     */
    private static void updateFormerCoordinators(Tick tick, long epoch) {
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

    /**
     * Records from when this entry may grant keys, and which former coordinators have stopped.
     *
     * <p>A process is known to have stopped when it reports an epoch in which the record shows it
     * as replaced, or when it is no longer a live member.
     */
    private static void recordStops(Tick tick) {
        World world = tick.world();
        CoordinatorTermRow term = world.coordinatorTerm();
        if (term.requiredEpoch() > 0 && term.sinceMs() < 0) {
            boolean allKnowEpoch =
                    world.members().rows().stream()
                            .allMatch(m -> m.epoch() >= term.requiredEpoch());
            if (allKnowEpoch) {
                world.coordinatorTermTable().put(World.SELF, term.withSince(tick.nowMs()));
            }
        }
        for (FormerCoordinatorRow former : world.formerCoordinators().rows()) {
            if (!former.hasStopped() && hasStoppedGranting(world, former)) {
                FormerCoordinatorRow stopped =
                        new FormerCoordinatorRow(former.id(), former.epoch(), tick.nowMs());
                world.formerCoordinators().put(former.id(), stopped);
            }
        }
    }

    private static boolean hasStoppedGranting(World world, FormerCoordinatorRow former) {
        return world.members().find(former.id()).map(m -> m.epoch() >= former.epoch()).orElse(true);
    }
}
