package org.hibiscususher.core.world;

import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.message.FleetRecord;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.RecordKind;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.core.table.GroupedTable;
import org.hibiscususher.core.table.Table;

/**
 * All tables of one entry.
 *
 * <p>Not thread-safe: they belong to the control thread. Tables with a single row hold it under
 * {@link #SELF}.
 */
public final class World {
    /** Key of the row in single-row tables. */
    public static final String SELF = "self";

    private final Table<String, NodeRow> mNode = Table.create();
    private final Table<String, RevisionRow> mRevision = Table.create();
    private final Table<String, HeadRow> mHead = Table.create();
    private final Table<Long, AcceptedNote> mRecentNotes = Table.create();
    private final Table<String, RelayRow> mRelays = Table.create();
    private final Table<Long, HistoryQueryRow> mHistoryQueries = Table.create();
    private final Table<Long, CompactionWriteRow> mCompactionWrites = Table.create();
    private final Table<String, MembershipRow> mMembership = Table.create();
    private final Table<String, MemberRow> mMembers = Table.create();
    private final Table<String, MembershipCallRow> mMembershipCall = Table.create();
    private final Table<String, LivenessRow> mLiveness = Table.create();
    private final Table<DeadMemberRow.Key, DeadMemberRow> mDeadMembers = Table.create();
    private final Table<String, FreshnessRow> mFreshness = Table.create();
    private final Table<String, PeerFreshnessRow> mPeerFreshness = Table.create();
    private final Table<Long, StoreCallRow> mHeadReads = Table.create();
    private final Table<String, HostListRow> mHostList = Table.create();
    private final Table<KeyDigest, KeySpec> mAccessKeys = Table.create();
    private final GroupedTable<String, HostRow, String> mHosts =
            GroupedTable.createBy(HostRow::pool);
    private final Table<String, EscrowSyncRow> mEscrowSync = Table.create();
    private final GroupedTable<PermitKey, PermitLimitRow, PermitGroup> mPermitLimits =
            GroupedTable.createBy(l -> l.key().permitGroup());
    private final GroupedTable<PermitKey, HoldingRow, PermitGroup> mHoldings =
            GroupedTable.createBy(h -> h.key().permitGroup());
    private final Table<PermitGroup, AllocatorBindingRow> mAllocatorBindings = Table.create();
    private final Table<PermitGroup, DemandReportRow> mDemandReports = Table.create();
    private final Table<PermitGroup, AllocatorTermRow> mAllocatorTerms = Table.create();
    private final GroupedTable<PermitKey, LedgerRow, PermitGroup> mLedger =
            GroupedTable.createBy(l -> l.key().permitGroup());
    private final GroupedTable<MemberDemandRow.Key, MemberDemandRow, PermitGroup> mMemberDemands =
            GroupedTable.createBy(d -> d.key().group());
    private final GroupedTable<MemberDemandRow.Key, SentAllocationRow, PermitGroup>
            mSentAllocations = GroupedTable.createBy(s -> s.key().group());
    private final Table<String, PoolEntitlementsRow> mPoolEntitlements = Table.create();
    private final Table<TeamDeficitRow.Key, TeamDeficitRow> mTeamDeficits = Table.create();
    private final GroupedTable<Long, RequestRow, SchedulingClass> mRequests =
            GroupedTable.createBy(RequestRow::schedulingClass);
    private final Table<Long, AbandonedRequestRow> mAbandonedRequests = Table.create();
    private final Table<String, QueueStatsRow> mQueueStats = Table.create();
    private final Table<Long, IdempotencyClaimRow> mIdempotencyClaims = Table.create();
    private final Table<IdempotencyKey, IdempotencyKeyRow> mIdempotencyKeys = Table.create();
    private final Table<String, CoordinatorTermRow> mCoordinatorTerm = Table.create();
    private final Table<String, FormerCoordinatorRow> mFormerCoordinators = Table.create();
    private final Table<Long, PendingNoteRow> mPendingNotes = Table.create();
    private final Table<RecordKind, StoreCallRow> mStoreCalls = Table.create();
    private final Table<RecordKey, FleetRow> mFleetRecords = Table.create();
    private final Table<String, FleetSyncRow> mFleetSync = Table.create();
    private final Table<RecordKey, StoreCallRow> mFleetWrites = Table.create();
    private final Table<RecordKey, FleetRecord> mFleetDrafts = Table.create();
    private final Table<String, PlatformHostRow> mPlatformHosts = Table.create();
    private final Table<String, OutageRow> mOutages = Table.create();
    private final Table<String, RebootRow> mReboots = Table.create();
    private final Table<String, RebootedHostRow> mRebootedHosts = Table.create();
    private final Table<Long, PendingWaveRow> mPendingWaves = Table.create();
    private final Table<String, PoolShortfallRow> mPoolShortfalls = Table.create();
    private final Table<String, ControlSettings> mSettings = Table.create();

    private World() {}

    /** Creates the tables of an entry that has just started. */
    public static World create(NodeIdentity identity, ControlSettings settings, long nowMs) {
        World world = new World();
        world.mNode.put(SELF, NodeRow.started(identity, nowMs));
        world.mRevision.put(SELF, new RevisionRow(Configuration.EMPTY, nowMs));
        world.mHead.put(SELF, HeadRow.UNSEEN);
        world.mMembership.put(SELF, MembershipRow.UNSEEN);
        world.mFleetSync.put(SELF, FleetSyncRow.NEVER);
        world.mEscrowSync.put(SELF, EscrowSyncRow.NONE);
        world.mMembershipCall.put(SELF, MembershipCallRow.NONE);
        world.mFreshness.put(SELF, FreshnessRow.NONE);
        world.mCoordinatorTerm.put(SELF, CoordinatorTermRow.NONE);
        world.mHostList.put(SELF, HostListRow.NONE);
        world.mSettings.put(SELF, settings);
        return world;
    }

    /** Returns the state of this process. */
    public NodeRow node() {
        return mNode.find(SELF).orElseThrow();
    }

    /** Returns the single-row table of {@link #node}. */
    public Table<String, NodeRow> nodeTable() {
        return mNode;
    }

    /** Returns the configuration in force here. */
    public Configuration configuration() {
        return revision().configuration();
    }

    /** Returns the configuration in force here and since when. */
    public RevisionRow revision() {
        return mRevision.find(SELF).orElseThrow();
    }

    /** Returns the single-row table of {@link #revision}. */
    public Table<String, RevisionRow> revisionTable() {
        return mRevision;
    }

    /** Returns the newest head of the configuration known to be written. */
    public HeadRow head() {
        return mHead.find(SELF).orElseThrow();
    }

    /** Returns the single-row table of {@link #head}. */
    public Table<String, HeadRow> headTable() {
        return mHead;
    }

    /** Returns the newest notes in force here by revision, each with its delta. */
    public Table<Long, AcceptedNote> recentNotes() {
        return mRecentNotes;
    }

    /** Returns the latest relays of notes by member id. */
    public Table<String, RelayRow> relays() {
        return mRelays;
    }

    /** Returns the writes of records to which new heads will refer, by store call. */
    public Table<Long, CompactionWriteRow> compactionWrites() {
        return mCompactionWrites;
    }

    /** Returns the operators' queries of accepted notes by call. */
    public Table<Long, HistoryQueryRow> historyQueries() {
        return mHistoryQueries;
    }

    /** Returns the membership record as last seen. */
    public MembershipRow membership() {
        return mMembership.find(SELF).orElseThrow();
    }

    /** Returns the single-row table of {@link #membership}. */
    public Table<String, MembershipRow> membershipTable() {
        return mMembership;
    }

    /** Returns the other members that may be alive, by member id. */
    public Table<String, MemberRow> members() {
        return mMembers;
    }

    /** Returns the state of the store calls for the membership record. */
    public MembershipCallRow membershipCall() {
        return mMembershipCall.find(SELF).orElseThrow();
    }

    /** Returns the single-row table of {@link #membershipCall}. */
    public Table<String, MembershipCallRow> membershipCallTable() {
        return mMembershipCall;
    }

    /** Returns the evidence for and against each other member being alive, by member id. */
    public Table<String, LivenessRow> liveness() {
        return mLiveness;
    }

    /** Returns the ended processes that are still listed in the membership record. */
    public Table<DeadMemberRow.Key, DeadMemberRow> deadMembers() {
        return mDeadMembers;
    }

    /** Returns how current the configuration in force here is known to be. */
    public FreshnessRow freshness() {
        return mFreshness.find(SELF).orElseThrow();
    }

    /** Returns the single-row table of {@link #freshness}. */
    public Table<String, FreshnessRow> freshnessTable() {
        return mFreshness;
    }

    /** Returns the single-row table of the reads of the platform's list of hosts. */
    public Table<String, HostListRow> hostListTable() {
        return mHostList;
    }

    /** Returns the pending reads of the head by call. */
    public Table<Long, StoreCallRow> headReads() {
        return mHeadReads;
    }

    /** Returns what the other members have reported about the configuration, by member id. */
    public Table<String, PeerFreshnessRow> peerFreshness() {
        return mPeerFreshness;
    }

    /** Returns the access keys in force by the digest of their secret. */
    public Table<KeyDigest, KeySpec> accessKeys() {
        return mAccessKeys;
    }

    /** Returns the target hosts by id, grouped by the pool that they serve. */
    public GroupedTable<String, HostRow, String> hosts() {
        return mHosts;
    }

    /** Returns the versions of the inputs that the escrow has applied. */
    public EscrowSyncRow escrowSync() {
        return mEscrowSync.find(SELF).orElseThrow();
    }

    /** Returns the single-row table of {@link #escrowSync}. */
    public Table<String, EscrowSyncRow> escrowSyncTable() {
        return mEscrowSync;
    }

    /** Returns how many permits of each key may exist, grouped by permit group. */
    public GroupedTable<PermitKey, PermitLimitRow, PermitGroup> permitLimits() {
        return mPermitLimits;
    }

    /** Returns the permits that this entry holds, grouped by permit group. */
    public GroupedTable<PermitKey, HoldingRow, PermitGroup> holdings() {
        return mHoldings;
    }

    /** Returns the allocator of each group of permits. */
    public Table<PermitGroup, AllocatorBindingRow> allocatorBindings() {
        return mAllocatorBindings;
    }

    /** Returns the demand that this entry last reported to the allocator of each group. */
    public Table<PermitGroup, DemandReportRow> demandReports() {
        return mDemandReports;
    }

    /** Returns the terms of this entry as allocator, by group. */
    public Table<PermitGroup, AllocatorTermRow> allocatorTerms() {
        return mAllocatorTerms;
    }

    /** Returns the accounts of the permits that this entry allocates, grouped by permit group. */
    public GroupedTable<PermitKey, LedgerRow, PermitGroup> ledger() {
        return mLedger;
    }

    /**
     * Returns the members' demand for the permits that this entry allocates, grouped by permit
     * group.
     */
    public GroupedTable<MemberDemandRow.Key, MemberDemandRow, PermitGroup> memberDemands() {
        return mMemberDemands;
    }

    /**
     * Returns the targets and entitlements that this entry, as allocator, has last sent to each
     * member, grouped by permit group.
     */
    public GroupedTable<MemberDemandRow.Key, SentAllocationRow, PermitGroup> sentAllocations() {
        return mSentAllocations;
    }

    /** Returns the teams' entitlements at this entry by pool. */
    public Table<String, PoolEntitlementsRow> poolEntitlements() {
        return mPoolEntitlements;
    }

    /** Returns the deficits of the teams at this entry. */
    public Table<TeamDeficitRow.Key, TeamDeficitRow> teamDeficits() {
        return mTeamDeficits;
    }

    /** Returns the open requests in order of arrival, grouped by scheduling class. */
    public GroupedTable<Long, RequestRow, SchedulingClass> requests() {
        return mRequests;
    }

    /** Returns the requests that were abandoned while a target was running them, by request id. */
    public Table<Long, AbandonedRequestRow> abandonedRequests() {
        return mAbandonedRequests;
    }

    /** Returns the statistics and retry budgets by queue. */
    public Table<String, QueueStatsRow> queueStats() {
        return mQueueStats;
    }

    /** Returns the open requests' claims to their idempotency keys, by request id. */
    public Table<Long, IdempotencyClaimRow> idempotencyClaims() {
        return mIdempotencyClaims;
    }

    /** Returns the claimed idempotency keys of which this entry is the coordinator. */
    public Table<IdempotencyKey, IdempotencyKeyRow> idempotencyKeys() {
        return mIdempotencyKeys;
    }

    /** Returns the term of this entry as coordinator of idempotency keys. */
    public CoordinatorTermRow coordinatorTerm() {
        return mCoordinatorTerm.find(SELF).orElseThrow();
    }

    /** Returns the single-row table of {@link #coordinatorTerm}. */
    public Table<String, CoordinatorTermRow> coordinatorTermTable() {
        return mCoordinatorTerm;
    }

    /**
     * Returns the members that may still grant idempotency keys though they are no longer active,
     * by member id.
     */
    public Table<String, FormerCoordinatorRow> formerCoordinators() {
        return mFormerCoordinators;
    }

    /** Returns the submitted release notes for which operators wait, by call. */
    public Table<Long, PendingNoteRow> pendingNotes() {
        return mPendingNotes;
    }

    /** Returns the pending store calls of the roll-out, by kind of record. */
    public Table<RecordKind, StoreCallRow> storeCalls() {
        return mStoreCalls;
    }

    /** Returns the newest known records about hosts. */
    public Table<RecordKey, FleetRow> fleetRecords() {
        return mFleetRecords;
    }

    /** Returns how current the records about hosts are. */
    public FleetSyncRow fleetSync() {
        return mFleetSync.find(SELF).orElseThrow();
    }

    /** Returns the single-row table of {@link #fleetSync}. */
    public Table<String, FleetSyncRow> fleetSyncTable() {
        return mFleetSync;
    }

    /** Returns the pending writes of records about hosts. */
    public Table<RecordKey, StoreCallRow> fleetWrites() {
        return mFleetWrites;
    }

    /** Returns the records about hosts that are to be written at the end of this tick. */
    public Table<RecordKey, FleetRecord> fleetDrafts() {
        return mFleetDrafts;
    }

    /** Returns the hosts of the platform's lists by id. */
    public Table<String, PlatformHostRow> platformHosts() {
        return mPlatformHosts;
    }

    /** Returns the present outages by host. */
    public Table<String, OutageRow> outages() {
        return mOutages;
    }

    /** Returns the reboots that this entry has requested, by host. */
    public Table<String, RebootRow> reboots() {
        return mReboots;
    }

    /** Returns the hosts that were rebooted in the newest wave, by wave and host. */
    public Table<String, RebootedHostRow> rebootedHosts() {
        return mRebootedHosts;
    }

    /**
     * Returns the operators' commands about the maintenance wave that wait for the store, by call.
     */
    public Table<Long, PendingWaveRow> pendingWaves() {
        return mPendingWaves;
    }

    /** Returns how many hosts each pool lacks, by pool. */
    public Table<String, PoolShortfallRow> poolShortfalls() {
        return mPoolShortfalls;
    }

    /** Returns the configurable times and limits. */
    public ControlSettings settings() {
        return mSettings.find(SELF).orElseThrow();
    }
}
