package org.hibiscususher.core.scheduler.term;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.message.Ownership;
import org.hibiscususher.core.scheduler.message.RecordGuard;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.RecordWrite;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitConflict;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.Committed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.LeaseDenied;
import org.hibiscususher.core.scheduler.message.SchedulerInput.LeaseGranted;
import org.hibiscususher.core.scheduler.message.SchedulerInput.LeaseNotRenewed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.LeaseRenewed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.LoadFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.OwnershipUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.PredecessorRelinquished;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RecordsLoaded;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RelinquishRequested;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.AskRelinquish;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Commit;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.GrantLease;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.LoadRecords;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.RenewLease;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.WatchExecutors;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.LastTickRow;
import org.hibiscususher.core.scheduler.world.LeaseRenewalRow;
import org.hibiscususher.core.scheduler.world.OwnershipClaimRow;
import org.hibiscususher.core.scheduler.world.OwnershipRow;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/**
 * Acquires, renews and loses the ownership of the scheduling.
 *
 * <p>The owner record is bound to a lease of the store: when the owner stops renewing the lease,
 * the store removes the record and another entry may claim the ownership. A claim also writes the
 * term record with the next generation. The revision of that write is the fence: every later commit
 * of the owner is conditional on it, so an owner that was replaced without noticing, for example
 * while its process was suspended, can't change the stored state any more.
 */
public final class TermSystem {
    /** Time before a failed claim is tried again, in milliseconds. */
    private static final long RETRY_MS = 200;

    /** Time limit of the commit that claims the ownership, in milliseconds. */
    private static final int CLAIM_TIMEOUT_MS = 1_000;

    /** Time after which a claim is abandoned if the store has not answered, in milliseconds. */
    private static final long CALL_TIMEOUT_MS = 1_500;

    /** Part at the end of a lease in which the owner doesn't rely on it, in milliseconds. */
    private static final long LEASE_MARGIN_MS = 200;

    /**
     * By how much more the wall clock must advance between two ticks than the steady clock to count
     * as a suspension of the process, in milliseconds.
     */
    private static final long SUSPENSION_MS = 400;

    private TermSystem() {}

    /** Applies the inputs that concern the ownership, then sends the calls that are due. */
    public static void run(SchedulerTick tick) {
        detectSuspension(tick);
        tick.forEachInput(SchedulerInput.class, input -> apply(tick, input));
        advance(tick);
    }

    /**
     * Withdraws the authority of an owner whose process was suspended, until the lease is renewed.
     *
     * <p>The steady clock may stand still during a suspension, so that the lease still looks valid
     * on it although it has expired in the store.
     */
    private static void detectSuspension(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        LastTickRow last = world.lastTick().get();
        world.lastTick().set(new LastTickRow(tick.nowMs(), tick.wallMs()));
        long steadyMs = tick.nowMs() - last.nowMs();
        long wallMs = tick.wallMs() - last.wallMs();
        if (last.wallMs() != 0
                && wallMs - steadyMs > SUSPENSION_MS
                && world.term().get().isScheduling()) {
            tick.log("suspended", "steady_ms=" + steadyMs + " wall_ms=" + wallMs);
            long graceMs = world.settings().timing().ownerGraceMs();
            world.term().set(world.term().get().withValidUntil(tick.nowMs() - graceMs));
            world.leaseRenewal().set(new LeaseRenewalRow(0, 0));
        }
    }

    private static void apply(SchedulerTick tick, SchedulerInput input) {
        long awaited = tick.world().term().get().callId();
        if (input instanceof OwnershipUpdated updated) {
            applyOwnership(tick, updated.ownership());
        } else if (input instanceof LeaseGranted granted && granted.callId() == awaited) {
            claim(tick, granted);
        } else if (input instanceof LeaseDenied denied && denied.callId() == awaited) {
            retryLater(tick);
        } else if (input instanceof Committed committed && committed.callId() == awaited) {
            completeClaim(tick, committed.revision());
        } else if (input instanceof CommitConflict conflict && conflict.callId() == awaited) {
            abandonClaim(tick);
        } else if (input instanceof CommitFailed failed && failed.callId() == awaited) {
            retryLater(tick);
        } else if (input instanceof RecordsLoaded loaded && loaded.callId() == awaited) {
            Takeover.restore(tick, loaded.records());
        } else if (input instanceof LoadFailed failed && failed.callId() == awaited) {
            load(tick);
        } else if (input instanceof RelinquishRequested requested) {
            relinquish(tick, requested);
        } else if (input instanceof PredecessorRelinquished relinquished) {
            applyPredecessorRelinquished(tick, relinquished.generation());
        } else if (input instanceof LeaseRenewed renewed) {
            applyRenewal(tick, renewed);
        } else if (input instanceof LeaseNotRenewed failed) {
            applyRenewalFailure(tick, failed);
        }
    }

    /** Steps down on request of a later owner, which then knows that this one has stopped. */
    private static void relinquish(SchedulerTick tick, RelinquishRequested requested) {
        TermRow term = tick.world().term().get();
        boolean owner = term.isScheduling() || term.stage().isOwner();
        if (owner && term.generation() < requested.generation()) {
            StepDown.run(tick, "yielded-to=" + requested.generation());
        }
        tick.emit(new Respond(requested.callId(), JobResponse.of(JobResponseKind.ACCEPTED)));
    }

    /** Applies that the predecessor has confirmed that it sends no more orders. */
    private static void applyPredecessorRelinquished(SchedulerTick tick, long generation) {
        TermRow term = tick.world().term().get();
        if (term.stage().isOwner() && term.generation() == generation) {
            tick.log("predecessor-yielded", "generation=" + generation);
            tick.world().term().set(term.withPredecessorReleased());
            Takeover.shortenLeaseWaits(tick);
        }
    }

    /**
     * Applies what the store reports of the ownership: steps down if a later owner exists, and
     * claims again if the own lease has expired.
     */
    private static void applyOwnership(SchedulerTick tick, Ownership updated) {
        SchedulerWorld world = tick.world();
        Ownership previous = world.ownership().get().ownership();
        world.ownership().set(world.ownership().get().withReport(updated, tick.nowMs()));
        if (!updated.owner().equals(previous.owner())) {
            tick.log(
                    "owner-seen",
                    "node="
                            + updated.owner().map(StoredRecord.Owner::node).orElse("none")
                            + " revision="
                            + updated.ownerRevision()
                            + " generation="
                            + updated.term().map(StoredRecord.Term::generation).orElse(0L));
        }
        TermRow term = world.term().get();
        boolean owner = term.isScheduling() || term.stage().isOwner();
        // A report that is older than the own claim says nothing about it.
        if (!owner || updated.termRevision() < term.fence()) {
            return;
        }
        boolean maybeOwnClaim = term.stage() == TermStage.CLAIMING && isOwnTerm(world, updated);
        if (updated.termRevision() > term.fence() && !maybeOwnClaim) {
            StepDown.run(tick, "later-owner");
        } else if (updated.owner().isEmpty() && term.stage() == TermStage.OWNING) {
            reclaimExpiredLease(tick);
        }
    }

    /** Returns whether this entry began the newest term, maybe with a claim not answered yet. */
    private static boolean isOwnTerm(SchedulerWorld world, Ownership updated) {
        return updated.term().filter(t -> t.node().equals(world.settings().node())).isPresent();
    }

    /**
     * Claims the ownership again at once after the lease has expired in the store while no other
     * entry has claimed it. The tables are kept: nobody else can have changed the records.
     */
    private static void reclaimExpiredLease(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        tick.log("owner-lease-ended", "generation=" + term.generation());
        tick.world()
                .term()
                .set(
                        term.withCall(TermStage.FOLLOWING, 0, 0)
                                .withRetainedTables(true)
                                .withClaimAt(tick.nowMs()));
    }

    /** Returns to the stage FOLLOWING, to claim again after {@link #RETRY_MS}. */
    private static void retryLater(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        tick.world()
                .term()
                .set(term.withCall(TermStage.FOLLOWING, 0, 0).withClaimAt(tick.nowMs() + RETRY_MS));
    }

    /**
     * Claims the ownership under a lease that was just granted. The commit takes effect only if the
     * owner and term records are still those on which the claim was decided, so of several entries
     * that claim at the same time one succeeds.
     */
    private static void claim(SchedulerTick tick, LeaseGranted granted) {
        SchedulerWorld world = tick.world();
        SchedulerSettings self = world.settings();
        TermRow term = world.term().get();
        Ownership current = world.ownership().get().ownership();
        if (!mayClaim(world)) {
            abandonClaim(tick);
            return;
        }
        OwnershipClaimRow claim =
                toClaimRow(tick, current, term.sentMs() + granted.ttlMs() - LEASE_MARGIN_MS);
        long callId = tick.nextCallId();
        world.ownershipClaim().set(claim);
        world.term()
                .set(
                        term.withLease(granted.leaseId(), term.validUntilMs())
                                .withCall(TermStage.CLAIMING, callId, tick.nowMs()));
        StoredRecord.Owner owner =
                new StoredRecord.Owner(self.node(), self.incarnation(), self.address());
        StoredRecord.Term next =
                new StoredRecord.Term(
                        claim.generation(),
                        self.node(),
                        self.incarnation(),
                        false,
                        self.address(),
                        List.of());
        tick.emit(
                new Commit(
                        callId,
                        List.of(
                                new RecordGuard(RecordName.OWNER, current.ownerRevision()),
                                new RecordGuard(RecordName.TERM, current.termRevision())),
                        List.of(new RecordWrite(owner, granted.leaseId()), RecordWrite.of(next)),
                        List.of(),
                        CLAIM_TIMEOUT_MS));
    }

    private static OwnershipClaimRow toClaimRow(
            SchedulerTick tick, Ownership current, long validUntilMs) {
        SchedulerSettings self = tick.world().settings();
        Optional<StoredRecord.Term> previous = current.term();
        return new OwnershipClaimRow(
                current.generation() + 1,
                validUntilMs,
                previous.map(StoredRecord.Term::node).orElse(""),
                previous.map(StoredRecord.Term::address).orElse(""),
                previous.map(t -> hasStopped(t, self)).orElse(true),
                predecessorGraceMs(current, self.timing()),
                earlierGraceMs(tick, current),
                previous.filter(StoredRecord.Term::released).map(StoredRecord.Term::unsettled));
    }

    /**
     * Returns for how long after a claim its predecessor may send orders if it has not stopped.
     * Without its record, its lease has expired; one that offered a handover may still hold it.
     */
    private static long predecessorGraceMs(Ownership current, SchedulerTiming timing) {
        return timing.ownerGraceMs() + (current.owner().isPresent() ? timing.ownerTtlMs() : 0);
    }

    /**
     * Returns for how long after a claim the owners before its predecessor may send orders. That
     * the predecessor has stopped says nothing of them: it may have taken over a moment ago. Their
     * time ran when its term began, at the latest when this process first read of it.
     */
    private static long earlierGraceMs(SchedulerTick tick, Ownership current) {
        SchedulerTiming timing = tick.world().settings().timing();
        long seenMs = tick.nowMs() - tick.world().ownership().get().termSeenMs();
        boolean none = current.generation() <= 1;
        return none ? 0 : Math.max(0, timing.ownerGraceMs() + timing.ownerTtlMs() - seenMs);
    }

    /**
     * Returns whether the owner of an earlier term is known to send no more orders: it ran on this
     * entry and thus is this process or one that this process replaced. One that released the
     * ownership starts no runs, but may not know yet that its release took effect, and renew
     * leases.
     */
    private static boolean hasStopped(StoredRecord.Term term, SchedulerSettings self) {
        return term.node().equals(self.node());
    }

    /**
     * Starts the new term. The owner restores its tables from the store, unless it kept them while
     * its own lease had expired; a predecessor that may still be active is asked to relinquish.
     *
     * @param revision revision of the claim, which becomes the fence of the term
     */
    private static void completeClaim(SchedulerTick tick, long revision) {
        SchedulerWorld world = tick.world();
        TermRow term = world.term().get();
        if (term.stage() != TermStage.CLAIMING) {
            return;
        }
        OwnershipClaimRow claim = world.ownershipClaim().get();
        boolean tablesKept = term.retainsTables();
        world.leaseRenewal().set(new LeaseRenewalRow(0, tick.nowMs()));
        world.term()
                .set(
                        new TermRow(
                                tablesKept ? TermStage.OWNING : TermStage.LOADING,
                                claim.generation(),
                                revision,
                                term.leaseId(),
                                claim.validUntilMs(),
                                tick.nowMs(),
                                0,
                                0,
                                0,
                                false,
                                claim.predecessorReleased()));
        tick.log(
                "owner-taken",
                "generation="
                        + claim.generation()
                        + " fence="
                        + revision
                        + " kept="
                        + tablesKept
                        + " predecessor="
                        + claim.predecessor()
                        + " released="
                        + claim.predecessorReleased());
        tick.count("owner.taken");
        if (!claim.predecessorReleased()) {
            tick.emit(new AskRelinquish(claim.predecessorAddress(), claim.generation()));
        }
        if (!tablesKept) {
            world.clearOwnerTables();
            tick.emit(new WatchExecutors(true));
            load(tick);
        }
        world.revisions().put(RecordName.TERM, revision);
    }

    /** Reads the stored records of jobs, executors and waves, also after a failed attempt. */
    private static void load(SchedulerTick tick) {
        long callId = tick.nextCallId();
        TermRow term = tick.world().term().get();
        tick.world().term().set(term.withCall(TermStage.LOADING, callId, tick.nowMs()));
        tick.emit(new LoadRecords(callId));
    }

    /** Abandons a claim that another entry has won or that is no longer allowed. */
    private static void abandonClaim(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        tick.log("claim-lost", "generation=" + term.generation());
        tick.world()
                .term()
                .set(term.withCall(TermStage.FOLLOWING, 0, 0).withClaimAt(tick.nowMs() + RETRY_MS));
    }

    /**
     * Extends the lease, counted from when the renewal was sent: the store may have renewed it
     * right then, long before its answer arrived.
     */
    private static void applyRenewal(SchedulerTick tick, LeaseRenewed renewed) {
        SchedulerWorld world = tick.world();
        LeaseRenewalRow renewal = world.leaseRenewal().get();
        TermRow term = world.term().get();
        if (renewal.callId() != renewed.callId() || !term.stage().isOwner()) {
            return;
        }
        long ttlMs = world.settings().timing().ownerTtlMs();
        world.leaseRenewal().set(new LeaseRenewalRow(0, renewal.sentMs()));
        world.term().set(term.withValidUntil(renewal.sentMs() + ttlMs - LEASE_MARGIN_MS));
        world.storeHealth().set(world.storeHealth().get().withSuccess(tick.nowMs()));
    }

    /** Claims again if the store no longer has the lease; any other failure is retried. */
    private static void applyRenewalFailure(SchedulerTick tick, LeaseNotRenewed failed) {
        SchedulerWorld world = tick.world();
        LeaseRenewalRow renewal = world.leaseRenewal().get();
        if (renewal.callId() != failed.callId()) {
            return;
        }
        world.leaseRenewal().set(new LeaseRenewalRow(0, renewal.sentMs()));
        if (failed.expired() && world.term().get().stage() == TermStage.OWNING) {
            reclaimExpiredLease(tick);
        }
    }

    /** Sends the call that the current stage needs now, if any. */
    private static void advance(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        switch (term.stage()) {
            case FOLLOWING -> claimIfPossible(tick);
            case LEASING, CLAIMING -> {
                if (tick.nowMs() - term.sentMs() > CALL_TIMEOUT_MS) {
                    retryLater(tick);
                }
            }
            default -> renewIfDue(tick);
        }
    }

    /**
     * Asks for the lease of a claim once the claim delay has passed. The delay differs between
     * entries, so that they don't all claim a free ownership at the same time.
     */
    private static void claimIfPossible(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        TermRow term = world.term().get();
        OwnershipRow ownership = world.ownership().get();
        boolean stopping = world.nodeState().get().isStopping();
        if (!ownership.known() || stopping && !term.retainsTables() || !mayClaim(world)) {
            if (term.claimAtMs() != 0 && !term.retainsTables()) {
                world.term().set(term.withClaimAt(0));
            }
            return;
        }
        if (term.claimAtMs() == 0) {
            // Without delay if an owner is recorded: it is this entry or has offered a handover.
            boolean recorded = ownership.ownership().owner().isPresent();
            long delayMs = recorded ? 0 : world.settings().claimDelayMs();
            world.term().set(term.withClaimAt(tick.nowMs() + delayMs));
        } else if (tick.nowMs() >= term.claimAtMs()) {
            long callId = tick.nextCallId();
            world.term().set(term.withCall(TermStage.LEASING, callId, tick.nowMs()));
            tick.emit(new GrantLease(callId, world.settings().timing().ownerTtlMs()));
        }
    }

    /**
     * Returns whether this entry may claim the ownership: nobody owns it, the recorded owner is
     * this entry, or the owner has offered a handover to this process.
     */
    private static boolean mayClaim(SchedulerWorld world) {
        Optional<StoredRecord.Owner> owner = world.ownership().get().ownership().owner();
        boolean ownOrNone = owner.map(o -> o.node().equals(world.settings().node())).orElse(true);
        return ownOrNone || HandoverSystem.isHandoverOffered(world);
    }

    /** Renews the lease at its interval, or again if the last call has not been answered. */
    private static void renewIfDue(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        LeaseRenewalRow renewal = world.leaseRenewal().get();
        SchedulerTiming timing = world.settings().timing();
        long elapsedMs = tick.nowMs() - renewal.sentMs();
        boolean due =
                renewal.callId() == 0
                        ? elapsedMs >= timing.renewalIntervalMs()
                        : elapsedMs >= RETRY_MS * 3;
        if (due) {
            long callId = tick.nextCallId();
            world.leaseRenewal().set(new LeaseRenewalRow(callId, tick.nowMs()));
            tick.emit(new RenewLease(callId, world.term().get().leaseId()));
        }
    }
}
