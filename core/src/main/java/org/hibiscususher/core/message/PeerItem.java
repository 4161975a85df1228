package org.hibiscususher.core.message;

import java.util.List;
import org.hibiscususher.core.note.AcceptedNote;

/** One thing that an entry tells another. */
public sealed interface PeerItem {
    /**
     * Relays accepted notes that the receiver is known to lack.
     *
     * @param notes notes of consecutive revisions, in order, each with its delta
     */
    record NoteRelay(List<AcceptedNote> notes) implements PeerItem {
        /** Copies the list. */
        public NoteRelay {
            notes = List.copyOf(notes);
        }
    }

    /**
     * Tells the allocator of a group what an entry holds when it begins to follow that allocator.
     *
     * <p>The same for every repetition under one claimEpoch.
     *
     * @param claimEpoch the epoch from which the entry counts; higher ones replace lower ones
     * @param group the group
     * @param permits what is held, and limits that were higher once
     */
    record PermitClaim(long claimEpoch, PermitGroup group, List<ClaimedPermit> permits)
            implements PeerItem {
        /** Copies the list. */
        public PermitClaim {
            permits = List.copyOf(permits);
        }
    }

    /**
     * Asks an entry for a claim under a basis no older than an epoch.
     *
     * @param epoch the epoch since which the sender allocates
     * @param group the group
     */
    record PermitClaimRequest(long epoch, PermitGroup group) implements PeerItem {}

    /**
     * Tells an entry how many permits it has been granted in all since its claim.
     *
     * @param claimEpoch the claimEpoch of the claim
     * @param permit the permits
     * @param granted count; only grows
     */
    record GrantCount(long claimEpoch, PermitKey permit, long granted) implements PeerItem {}

    /**
     * Tells the allocator how many permits have come back in all since the claim.
     *
     * @param claimEpoch the claimEpoch of the claim
     * @param permit the permits
     * @param returned count; only grows
     */
    record ReturnCount(long claimEpoch, PermitKey permit, long returned) implements PeerItem {}

    /**
     * Acknowledges {@link GrantCount}.
     *
     * @param claimEpoch the claimEpoch of the claim
     * @param permit the permits
     * @param granted the count that has been seen
     */
    record GrantAck(long claimEpoch, PermitKey permit, long granted) implements PeerItem {}

    /**
     * Acknowledges {@link ReturnCount}.
     *
     * @param claimEpoch the claimEpoch of the claim
     * @param permit the permits
     * @param returned the count that has been seen
     */
    record ReturnAck(long claimEpoch, PermitKey permit, long returned) implements PeerItem {}

    /**
     * Tells an entry how many permits of a group to keep, and that its claim has been taken in.
     *
     * @param claimEpoch the claimEpoch of the claim
     * @param group the group
     * @param main how many slots of a pool or units of a team
     * @param longRuns how many permits for long runs
     */
    record PermitTarget(long claimEpoch, PermitGroup group, int main, int longRuns)
            implements PeerItem {}

    /**
     * Tells the allocator of a group how much work an entry has at hand for it.
     *
     * @param group the group
     * @param teams the work by team; teams without work are left out
     */
    record Demand(PermitGroup group, List<TeamDemand> teams) implements PeerItem {
        /** Copies the list. */
        public Demand {
            teams = List.copyOf(teams);
        }
    }

    /**
     * Tells an entry how many slots of a pool each team is due there.
     *
     * @param pool the pool
     * @param teams what the teams are due at that entry; teams that are due nothing are left out
     */
    record PoolEntitlements(String pool, List<TeamEntitlement> teams) implements PeerItem {
        /** Copies the list. */
        public PoolEntitlements {
            teams = List.copyOf(teams);
        }
    }

    /**
     * Relays a record about hosts.
     *
     * @param record the record
     */
    record FleetRelay(FleetRecord record) implements PeerItem {}

    /**
     * Tells the allocators of spare pools how many hosts a pool is short of.
     *
     * @param pool the pool
     * @param hosts how many hosts it is short of; negative if it has more than it needs
     */
    record PoolShortfall(String pool, int hosts) implements PeerItem {}

    /**
     * Asks the home of an idempotency key whether the key is new, and claims it.
     *
     * @param requestId the request at the sender
     * @param high first 64 bits of the key
     * @param low last 64 bits of the key
     * @param sentMs time of the sender's clock, in milliseconds
     */
    record IdempotencyClaim(long requestId, long high, long low, long sentMs) implements PeerItem {}

    /**
     * Answers a claim to an idempotency key.
     *
     * @param incarnation incarnation of the claiming entry
     * @param requestId the request there
     * @param high first 64 bits of the key
     * @param low last 64 bits of the key
     * @param result the answer
     */
    record IdempotencyClaimReply(
            long incarnation, long requestId, long high, long low, IdempotencyClaimResult result)
            implements PeerItem {}

    /**
     * Tells the home of an idempotency key that the claiming request ended without a run.
     *
     * @param requestId the request at the sender
     * @param high first 64 bits of the key
     * @param low last 64 bits of the key
     */
    record IdempotencyRelease(long requestId, long high, long low) implements PeerItem {}

    /**
     * Acknowledges that a claim was released.
     *
     * @param incarnation incarnation of the claiming entry
     * @param requestId the request there
     */
    record IdempotencyReleaseAck(long incarnation, long requestId) implements PeerItem {}
}
