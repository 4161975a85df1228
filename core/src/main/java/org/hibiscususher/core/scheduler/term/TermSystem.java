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
 * Takes, keeps and gives up the ownership.
 *
 * <p>The owner's record lies in the store under a lease. Taking it also raises the generation in
 * the term's record, on whose revision every later commit of the owner depends.
 */
public final class TermSystem {
    private static final long RETRY_MS = 200;
    private static final int CLAIM_TIMEOUT_MS = 1_000;
    private static final long CALL_TIMEOUT_MS = 1_500;

    /** Part of a lease that is not relied on, in milliseconds. */
    private static final long LEASE_MARGIN_MS = 200;

    /** Wall-clock time beyond steady time that shows that the process was suspended. */
    private static final long SUSPENSION_MS = 400;

    private TermSystem() {}

    /** Takes in what the store says, and does what is due. */
    public static void run(SchedulerTick tick) {
        noticeSuspension(tick);
        for (SchedulerInput input : tick.inputs()) {
            take(tick, input);
        }
        advance(tick);
    }

    private static void noticeSuspension(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        LastTickRow before = world.lastTick().get();
        world.lastTick().set(new LastTickRow(tick.nowMs(), tick.wallMs()));
        long passedMs = tick.nowMs() - before.nowMs();
        long wallMs = tick.wallMs() - before.wallMs();
        if (before.wallMs() != 0
                && wallMs - passedMs > SUSPENSION_MS
                && world.term().get().isScheduling()) {
            tick.log("suspended", "steady_ms=" + passedMs + " wall_ms=" + wallMs);
            long graceMs = world.settings().timing().ownerGraceMs();
            world.term().set(world.term().get().withValidUntil(tick.nowMs() - graceMs));
            world.leaseRenewal().set(new LeaseRenewalRow(0, 0));
        }
    }

    private static void take(SchedulerTick tick, SchedulerInput input) {
        long awaited = tick.world().term().get().callId();
        if (input instanceof OwnershipUpdated seen) {
            ownershipSeen(tick, seen.ownership());
        } else if (input instanceof LeaseGranted granted && granted.callId() == awaited) {
            claim(tick, granted);
        } else if (input instanceof LeaseDenied refused && refused.callId() == awaited) {
            retryLater(tick);
        } else if (input instanceof Committed done && done.callId() == awaited) {
            claimed(tick, done.revision());
        } else if (input instanceof CommitConflict conflict && conflict.callId() == awaited) {
            claimLost(tick);
        } else if (input instanceof CommitFailed failed && failed.callId() == awaited) {
            retryLater(tick);
        } else if (input instanceof RecordsLoaded loaded && loaded.callId() == awaited) {
            Takeover.restore(tick, loaded.records());
        } else if (input instanceof LoadFailed failed && failed.callId() == awaited) {
            load(tick);
        } else if (input instanceof RelinquishRequested asked) {
            yieldTo(tick, asked);
        } else if (input instanceof PredecessorRelinquished yielded) {
            predecessorYielded(tick, yielded.generation());
        } else if (input instanceof LeaseRenewed renewed) {
            renewed(tick, renewed);
        } else if (input instanceof LeaseNotRenewed failed) {
            notRenewed(tick, failed);
        }
    }

    private static void yieldTo(SchedulerTick tick, RelinquishRequested asked) {
        TermRow term = tick.world().term().get();
        boolean owner = term.isScheduling() || term.stage().isOwner();
        if (owner && term.generation() < asked.generation()) {
            StepDown.run(tick, "yielded-to=" + asked.generation());
        }
        tick.emit(new Respond(asked.callId(), JobResponse.of(JobResponseKind.ACCEPTED)));
    }

    private static void predecessorYielded(SchedulerTick tick, long generation) {
        TermRow term = tick.world().term().get();
        if (term.stage().isOwner() && term.generation() == generation) {
            tick.log("predecessor-yielded", "generation=" + generation);
            tick.world().term().set(term.withPredecessorReleased());
            Takeover.shortenWaits(tick);
        }
    }

    private static void ownershipSeen(SchedulerTick tick, Ownership seen) {
        SchedulerWorld world = tick.world();
        Ownership before = world.ownership().get().ownership();
        world.ownership().set(new OwnershipRow(true, seen, tick.nowMs()));
        if (!seen.owner().equals(before.owner())) {
            tick.log(
                    "owner-seen",
                    "node="
                            + seen.owner().map(StoredRecord.Owner::node).orElse("none")
                            + " revision="
                            + seen.ownerRevision()
                            + " generation="
                            + seen.term().map(StoredRecord.Term::generation).orElse(0L));
        }
        TermRow term = world.term().get();
        boolean owner = term.isScheduling() || term.stage().isOwner();
        if (!owner || seen.termRevision() < term.fence()) {
            return;
        }
        if (seen.termRevision() > term.fence() && !term.stage().equals(TermStage.CLAIMING)) {
            StepDown.run(tick, "later-owner");
        } else if (seen.owner().isEmpty() && term.stage() == TermStage.OWNING) {
            leaseEnded(tick);
        }
    }

    private static void leaseEnded(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        tick.log("owner-lease-ended", "generation=" + term.generation());
        tick.world()
                .term()
                .set(
                        term.withCall(TermStage.FOLLOWING, 0, 0)
                                .withRetainedTables(true)
                                .withClaimAt(tick.nowMs()));
    }

    private static void retryLater(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        tick.world()
                .term()
                .set(term.withCall(TermStage.FOLLOWING, 0, 0).withClaimAt(tick.nowMs() + RETRY_MS));
    }

    private static void claim(SchedulerTick tick, LeaseGranted granted) {
        SchedulerWorld world = tick.world();
        SchedulerSettings self = world.settings();
        TermRow term = world.term().get();
        Ownership seen = world.ownership().get().ownership();
        if (!isFree(world)) {
            claimLost(tick);
            return;
        }
        OwnershipClaimRow claim =
                claimRow(seen, self, term.sentMs() + granted.ttlMs() - LEASE_MARGIN_MS);
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
                                new RecordGuard(RecordName.OWNER, seen.ownerRevision()),
                                new RecordGuard(RecordName.TERM, seen.termRevision())),
                        List.of(new RecordWrite(owner, granted.leaseId()), RecordWrite.of(next)),
                        List.of(),
                        CLAIM_TIMEOUT_MS));
    }

    private static OwnershipClaimRow claimRow(
            Ownership seen, SchedulerSettings self, long validUntilMs) {
        Optional<StoredRecord.Term> last = seen.term();
        return new OwnershipClaimRow(
                last.map(StoredRecord.Term::generation).orElse(0L) + 1,
                validUntilMs,
                last.map(StoredRecord.Term::node).orElse(""),
                last.map(StoredRecord.Term::address).orElse(""),
                last.map(t -> endedFor(t, self)).orElse(true),
                last.filter(StoredRecord.Term::released).map(StoredRecord.Term::unsettled));
    }

    /** Returns whether the process of an earlier term surely gives no more orders. */
    private static boolean endedFor(StoredRecord.Term term, SchedulerSettings self) {
        return term.released() || term.node().equals(self.node());
    }

    private static void claimed(SchedulerTick tick, long revision) {
        SchedulerWorld world = tick.world();
        TermRow term = world.term().get();
        if (term.stage() != TermStage.CLAIMING) {
            return;
        }
        OwnershipClaimRow claim = world.ownershipClaim().get();
        boolean kept = term.retainsTables();
        world.leaseRenewal().set(new LeaseRenewalRow(0, tick.nowMs()));
        world.term()
                .set(
                        new TermRow(
                                kept ? TermStage.OWNING : TermStage.LOADING,
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
                        + kept
                        + " predecessor="
                        + claim.predecessor()
                        + " released="
                        + claim.predecessorReleased());
        tick.count("owner.taken");
        if (!claim.predecessorReleased()) {
            tick.emit(new AskRelinquish(claim.predecessorAddress(), claim.generation()));
        }
        if (!kept) {
            world.clearOwnerTables();
            tick.emit(new WatchExecutors(true));
            load(tick);
        }
        world.revisions().put(RecordName.TERM, revision);
    }

    private static void load(SchedulerTick tick) {
        long callId = tick.nextCallId();
        TermRow term = tick.world().term().get();
        tick.world().term().set(term.withCall(TermStage.LOADING, callId, tick.nowMs()));
        tick.emit(new LoadRecords(callId));
    }

    private static void claimLost(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        tick.log("claim-lost", "generation=" + term.generation());
        tick.world()
                .term()
                .set(term.withCall(TermStage.FOLLOWING, 0, 0).withClaimAt(tick.nowMs() + RETRY_MS));
    }

    private static void renewed(SchedulerTick tick, LeaseRenewed renewed) {
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

    private static void notRenewed(SchedulerTick tick, LeaseNotRenewed failed) {
        SchedulerWorld world = tick.world();
        LeaseRenewalRow renewal = world.leaseRenewal().get();
        if (renewal.callId() != failed.callId()) {
            return;
        }
        world.leaseRenewal().set(new LeaseRenewalRow(0, renewal.sentMs()));
        if (failed.expired() && world.term().get().stage() == TermStage.OWNING) {
            leaseEnded(tick);
        }
    }

    private static void advance(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        switch (term.stage()) {
            case FOLLOWING -> follow(tick);
            case LEASING, CLAIMING -> {
                if (tick.nowMs() - term.sentMs() > CALL_TIMEOUT_MS) {
                    retryLater(tick);
                }
            }
            default -> renew(tick);
        }
    }

    private static void follow(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        TermRow term = world.term().get();
        OwnershipRow seen = world.ownership().get();
        boolean stopping = world.nodeState().get().shutdownRequestedMs() != 0;
        if (!seen.known() || stopping && !term.retainsTables() || !isFree(world)) {
            if (term.claimAtMs() != 0 && !term.retainsTables()) {
                world.term().set(term.withClaimAt(0));
            }
            return;
        }
        if (term.claimAtMs() == 0) {
            boolean own = seen.ownership().owner().isPresent();
            long delayMs = own ? 0 : world.settings().claimDelayMs();
            world.term().set(term.withClaimAt(tick.nowMs() + delayMs));
        } else if (tick.nowMs() >= term.claimAtMs()) {
            long callId = tick.nextCallId();
            world.term().set(term.withCall(TermStage.LEASING, callId, tick.nowMs()));
            tick.emit(new GrantLease(callId, world.settings().timing().ownerTtlMs()));
        }
    }

    private static boolean isFree(SchedulerWorld world) {
        Optional<StoredRecord.Owner> owner = world.ownership().get().ownership().owner();
        boolean own = owner.map(o -> o.node().equals(world.settings().node())).orElse(true);
        return own || HandoverSystem.isHandoverOffered(world);
    }

    private static void renew(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        LeaseRenewalRow renewal = world.leaseRenewal().get();
        SchedulerTiming timing = world.settings().timing();
        long sinceMs = tick.nowMs() - renewal.sentMs();
        boolean due =
                renewal.callId() == 0
                        ? sinceMs >= timing.renewalIntervalMs()
                        : sinceMs >= RETRY_MS * 3;
        if (due) {
            long callId = tick.nextCallId();
            world.leaseRenewal().set(new LeaseRenewalRow(callId, tick.nowMs()));
            tick.emit(new RenewLease(callId, world.term().get().leaseId()));
        }
    }
}
