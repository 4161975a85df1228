package org.hibiscususher.core.message;

import java.util.List;
import org.hibiscususher.core.note.AcceptedNote;

/**
 * An item in a message from one entry to another.
 *
 * <p>Messages may be lost, repeated and reordered, so items carry totals and absolute values rather
 * than increments, and items whose loss would do harm are resent until they are acknowledged.
 */
public sealed interface PeerItem {
    /**
     * Relays accepted notes that the receiver is known to lack.
     *
     * @param notes notes of consecutive revisions, in order, each with its delta
     */
    record NoteRelay(List<AcceptedNote> notes) implements PeerItem {
        /** Makes a defensive copy of the list. */
        public NoteRelay {
            notes = List.copyOf(notes);
        }
    }

    /**
     * Claims permits of a group as held by the sender, at the allocator to which the sender has
     * newly bound the group.
     *
     * <p>Each repetition under one claim epoch is the same, as grants and returns are counted from
     * the claim.
     *
     * @param claimEpoch membership epoch of the claim; a claim replaces those with a lower one
     * @param group the group
     * @param permits the permits held, and those whose limit was once higher than now
     */
    record PermitClaim(long claimEpoch, PermitGroup group, List<ClaimedPermit> permits)
            implements PeerItem {
        /** Makes a defensive copy of the list. */
        public PermitClaim {
            permits = List.copyOf(permits);
        }
    }

    /**
     * Requests a claim with a claim epoch no lower than the start of an allocator's term.
     *
     * @param epoch the epoch since which the sender allocates the group
     * @param group the group
     */
    record PermitClaimRequest(long epoch, PermitGroup group) implements PeerItem {}

    /**
     * Grants permits, as a total since the receiver's claim.
     *
     * @param claimEpoch epoch of the claim from which the grants are counted
     * @param permit key of the permits
     * @param granted how many permits were granted since the claim; never decreases
     */
    record GrantCount(long claimEpoch, PermitKey permit, long granted) implements PeerItem {}

    /**
     * Returns permits to the allocator, as a total since the sender's claim.
     *
     * @param claimEpoch epoch of the claim from which the returns are counted
     * @param permit key of the permits
     * @param returned how many permits were returned since the claim; never decreases
     */
    record ReturnCount(long claimEpoch, PermitKey permit, long returned) implements PeerItem {}

    /**
     * Acknowledges {@link GrantCount}.
     *
     * @param claimEpoch epoch of the claim
     * @param permit key of the permits
     * @param granted the total that was received
     */
    record GrantAck(long claimEpoch, PermitKey permit, long granted) implements PeerItem {}

    /**
     * Acknowledges {@link ReturnCount}.
     *
     * @param claimEpoch epoch of the claim
     * @param permit key of the permits
     * @param returned the total that was received
     */
    record ReturnAck(long claimEpoch, PermitKey permit, long returned) implements PeerItem {}

    /**
     * Sets how many permits of a group the receiver keeps. Also acknowledges its claim.
     *
     * @param claimEpoch epoch of the acknowledged claim
     * @param group the group
     * @param main how many slots of a pool or units of a team to keep
     * @param longRuns how many permits for long runs to keep; 0 for a team
     */
    record PermitTarget(long claimEpoch, PermitGroup group, int main, int longRuns)
            implements PeerItem {}

    /**
     * Reports the demand of the sender's requests to the allocator of a group.
     *
     * @param group the group
     * @param teams demand by team; teams without requests are left out
     */
    record Demand(PermitGroup group, List<TeamDemand> teams) implements PeerItem {
        /** Makes a defensive copy of the list. */
        public Demand {
            teams = List.copyOf(teams);
        }
    }

    /**
     * Reports to how many slots of a pool each team is entitled at the receiver.
     *
     * @param pool the pool
     * @param teams the entitlements at the receiver; teams that are entitled to nothing are left
     *     out
     */
    record PoolEntitlements(String pool, List<TeamEntitlement> teams) implements PeerItem {
        /** Makes a defensive copy of the list. */
        public PoolEntitlements {
            teams = List.copyOf(teams);
        }
    }

    /**
     * Relays a record about hosts, so that the receiver need not wait for its next read of the
     * store.
     *
     * @param record the record
     */
    record FleetRelay(FleetRecord record) implements PeerItem {}

    /**
     * Reports to the allocators of spare pools how many hosts a pool lacks.
     *
     * @param pool the pool
     * @param hosts how many hosts the pool lacks; negative if it has hosts to spare
     */
    record PoolShortfall(String pool, int hosts) implements PeerItem {}

    /**
     * Claims an idempotency key at its coordinator for a request of the sender.
     *
     * @param requestId the request at the sender
     * @param high first 64 bits of the key
     * @param low last 64 bits of the key
     * @param sentMs time of the sender's clock, in milliseconds; the coordinator rejects the claim
     *     if the clocks are too far apart
     */
    record IdempotencyClaim(long requestId, long high, long low, long sentMs) implements PeerItem {}

    /**
     * Responds to {@link IdempotencyClaim}.
     *
     * @param incarnation incarnation of the claiming entry
     * @param requestId the request there
     * @param high first 64 bits of the key
     * @param low last 64 bits of the key
     * @param result the coordinator's decision
     */
    record IdempotencyClaimReply(
            long incarnation, long requestId, long high, long low, IdempotencyClaimResult result)
            implements PeerItem {}

    /**
     * Releases an idempotency key at its coordinator, as the claiming request ended without a run.
     *
     * @param requestId the request at the sender
     * @param high first 64 bits of the key
     * @param low last 64 bits of the key
     */
    record IdempotencyRelease(long requestId, long high, long low) implements PeerItem {}

    /**
     * Acknowledges {@link IdempotencyRelease}.
     *
     * @param incarnation incarnation of the claiming entry
     * @param requestId the request there
     */
    record IdempotencyReleaseAck(long incarnation, long requestId) implements PeerItem {}
}
