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
 * All tables of one entry. Not thread-safe: it belongs to the control thread.
 *
 * <p>Tables with a single row hold it under {@link #SELF}.
 */
public final class World {
    /** Id of the row in tables that have just one. */
    public static final String SELF = "self";

    private final Table<String, NodeRow> mNode = Table.create();
    private final Table<String, RevisionRow> mRevision = Table.create();
    private final Table<String, HeadRow> mHead = Table.create();
    private final Table<Long, AcceptedNote> mRecentNotes = Table.create();
    private final Table<String, RelayRow> mRelays = Table.create();
    private final Table<Long, HistoryQueryRow> mHistoryQueries = Table.create();
    private final Table<Long, CompactionWriteRow> mFoldWrites = Table.create();
    private final Table<String, MembershipRow> mMembership = Table.create();
    private final Table<String, MemberRow> mMembers = Table.create();
    private final Table<String, MembershipCallRow> mMembershipCall = Table.create();
    private final Table<String, LivenessRow> mLiveness = Table.create();
    private final Table<DeadMemberRow.Key, DeadMemberRow> mDeadMembers = Table.create();
    private final Table<String, FreshnessRow> mFreshness = Table.create();
    private final Table<String, PeerFreshnessRow> mEvidence = Table.create();
    private final Table<Long, StoreCallRow> mHeadReads = Table.create();
    private final Table<String, HostListRow> mHostList = Table.create();
    private final Table<KeyDigest, KeySpec> mKeys = Table.create();
    private final GroupedTable<String, HostRow, String> mHosts =
            GroupedTable.createBy(HostRow::pool);
    private final Table<String, EscrowSyncRow> mEscrow = Table.create();
    private final GroupedTable<PermitKey, PermitLimitRow, PermitGroup> mTotals =
            GroupedTable.createBy(t -> t.key().permitGroup());
    private final GroupedTable<PermitKey, HoldingRow, PermitGroup> mHoldings =
            GroupedTable.createBy(h -> h.key().permitGroup());
    private final Table<PermitGroup, AllocatorBindingRow> mAttachments = Table.create();
    private final Table<PermitGroup, DemandReportRow> mReports = Table.create();
    private final Table<PermitGroup, AllocatorTermRow> mTenures = Table.create();
    private final GroupedTable<PermitKey, LedgerRow, PermitGroup> mLedger =
            GroupedTable.createBy(l -> l.key().permitGroup());
    private final GroupedTable<MemberDemandRow.Key, MemberDemandRow, PermitGroup> mDemands =
            GroupedTable.createBy(d -> d.key().group());
    private final GroupedTable<MemberDemandRow.Key, SentAllocationRow, PermitGroup> mAdvice =
            GroupedTable.createBy(a -> a.key().group());
    private final Table<String, PoolEntitlementsRow> mPoolDues = Table.create();
    private final Table<TeamDeficitRow.Key, TeamDeficitRow> mCredits = Table.create();
    private final GroupedTable<Long, RequestRow, SchedulingClass> mRequests =
            GroupedTable.createBy(RequestRow::schedulingClass);
    private final Table<Long, AbandonedRequestRow> mAbandoned = Table.create();
    private final Table<String, QueueStatsRow> mQueueLoads = Table.create();
    private final Table<Long, IdempotencyClaimRow> mOnceClaims = Table.create();
    private final Table<IdempotencyKey, IdempotencyKeyRow> mOnceKeys = Table.create();
    private final Table<String, CoordinatorTermRow> mOnceTenure = Table.create();
    private final Table<String, FormerCoordinatorRow> mFormerHomes = Table.create();
    private final Table<Long, PendingNoteRow> mPendingNotes = Table.create();
    private final Table<RecordKind, StoreCallRow> mStoreCalls = Table.create();
    private final Table<RecordKey, FleetRow> mFleet = Table.create();
    private final Table<String, FleetSyncRow> mFleetSync = Table.create();
    private final Table<RecordKey, StoreCallRow> mFleetCalls = Table.create();
    private final Table<RecordKey, FleetRecord> mFleetDrafts = Table.create();
    private final Table<String, PlatformHostRow> mPlatformHosts = Table.create();
    private final Table<String, OutageRow> mOutages = Table.create();
    private final Table<String, RebootRow> mReboots = Table.create();
    private final Table<String, RebootedHostRow> mWaveDone = Table.create();
    private final Table<Long, PendingWaveRow> mPendingWaves = Table.create();
    private final Table<String, PoolShortfallRow> mPoolNeeds = Table.create();
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
        world.mEscrow.put(SELF, EscrowSyncRow.NONE);
        world.mMembershipCall.put(SELF, MembershipCallRow.NONE);
        world.mFreshness.put(SELF, FreshnessRow.NONE);
        world.mOnceTenure.put(SELF, CoordinatorTermRow.NONE);
        world.mHostList.put(SELF, HostListRow.NONE);
        world.mSettings.put(SELF, settings);
        return world;
    }

    /** Returns what this process knows of itself. */
    public NodeRow node() {
        return mNode.find(SELF).orElseThrow();
    }

    /** Returns the table of the one row about this process. */
    public Table<String, NodeRow> nodeTable() {
        return mNode;
    }

    /** Returns the configuration in force here. */
    public Configuration configuration() {
        return revision().configuration();
    }

    /** Returns the row of the configuration in force here. */
    public RevisionRow revision() {
        return mRevision.find(SELF).orElseThrow();
    }

    /** Returns the table of the one row about the configuration. */
    public Table<String, RevisionRow> revisionTable() {
        return mRevision;
    }

    /** Returns the newest known head of the configuration's history. */
    public HeadRow head() {
        return mHead.find(SELF).orElseThrow();
    }

    /** Returns the table of the one row about the head. */
    public Table<String, HeadRow> headTable() {
        return mHead;
    }

    /** Returns the newest notes in force here by revision, each with its delta. */
    public Table<Long, AcceptedNote> recentNotes() {
        return mRecentNotes;
    }

    /** Returns what was last relayed, by member. */
    public Table<String, RelayRow> relays() {
        return mRelays;
    }

    /** Returns the records that heads to come will name, by the store call that writes them. */
    public Table<Long, CompactionWriteRow> compactionWrites() {
        return mFoldWrites;
    }

    /** Returns the operators' questions about accepted notes, by call. */
    public Table<Long, HistoryQueryRow> historyQueries() {
        return mHistoryQueries;
    }

    /** Returns the membership record as last seen. */
    public MembershipRow membership() {
        return mMembership.find(SELF).orElseThrow();
    }

    /** Returns the table of the one row about the membership record. */
    public Table<String, MembershipRow> membershipTable() {
        return mMembership;
    }

    /** Returns the other entries that may be alive, by member id. */
    public Table<String, MemberRow> members() {
        return mMembers;
    }

    /** Returns how this entry reaches the membership record. */
    public MembershipCallRow membershipCall() {
        return mMembershipCall.find(SELF).orElseThrow();
    }

    /** Returns the table of the one row about calls for the membership record. */
    public Table<String, MembershipCallRow> membershipCallTable() {
        return mMembershipCall;
    }

    /** Returns what speaks for and against each other entry being alive, by member id. */
    public Table<String, LivenessRow> liveness() {
        return mLiveness;
    }

    /** Returns the ended processes that the membership record still shows. */
    public Table<DeadMemberRow.Key, DeadMemberRow> deadMembers() {
        return mDeadMembers;
    }

    /** Returns how current the configuration is known to be from this entry's own reads. */
    public FreshnessRow freshness() {
        return mFreshness.find(SELF).orElseThrow();
    }

    /** Returns the table of the one row about freshness. */
    public Table<String, FreshnessRow> freshnessTable() {
        return mFreshness;
    }

    /** Returns the table of the one row about reads of the platform's list of hosts. */
    public Table<String, HostListRow> hostListTable() {
        return mHostList;
    }

    /** Returns the reads of the head that are out, by call. */
    public Table<Long, StoreCallRow> headReads() {
        return mHeadReads;
    }

    /** Returns what each other entry has said of the configuration, by member id. */
    public Table<String, PeerFreshnessRow> peerFreshness() {
        return mEvidence;
    }

    /** Returns the keys in force by the digest of their secret. */
    public Table<KeyDigest, KeySpec> accessKeys() {
        return mKeys;
    }

    /** Returns the target hosts by id, grouped by the pool that they serve. */
    public GroupedTable<String, HostRow, String> hosts() {
        return mHosts;
    }

    /** Returns what the escrow has taken in. */
    public EscrowSyncRow escrowSync() {
        return mEscrow.find(SELF).orElseThrow();
    }

    /** Returns the table of the one row about the escrow. */
    public Table<String, EscrowSyncRow> escrowSyncTable() {
        return mEscrow;
    }

    /** Returns how many permits there may be. */
    public GroupedTable<PermitKey, PermitLimitRow, PermitGroup> permitLimits() {
        return mTotals;
    }

    /** Returns the permits that this entry holds. */
    public GroupedTable<PermitKey, HoldingRow, PermitGroup> holdings() {
        return mHoldings;
    }

    /** Returns the allocators that this entry follows. */
    public Table<PermitGroup, AllocatorBindingRow> allocatorBindings() {
        return mAttachments;
    }

    /** Returns the demand that this entry has reported to allocators. */
    public Table<PermitGroup, DemandReportRow> demandReports() {
        return mReports;
    }

    /** Returns the groups of permits that this entry allocates. */
    public Table<PermitGroup, AllocatorTermRow> allocatorTerms() {
        return mTenures;
    }

    /** Returns the holders of the permits that this entry allocates. */
    public GroupedTable<PermitKey, LedgerRow, PermitGroup> ledger() {
        return mLedger;
    }

    /** Returns the demand of the members for the permits that this entry allocates. */
    public GroupedTable<MemberDemandRow.Key, MemberDemandRow, PermitGroup> memberDemands() {
        return mDemands;
    }

    /** Returns what this entry, as allocator, has told the members. */
    public GroupedTable<MemberDemandRow.Key, SentAllocationRow, PermitGroup> sentAllocations() {
        return mAdvice;
    }

    /** Returns what the teams are due at this entry by pool. */
    public Table<String, PoolEntitlementsRow> poolEntitlements() {
        return mPoolDues;
    }

    /** Returns how far teams have fallen short of what they were due at this entry. */
    public Table<TeamDeficitRow.Key, TeamDeficitRow> teamDeficits() {
        return mCredits;
    }

    /** Returns the requests at hand, in order of arrival, grouped by what they wait for or use. */
    public GroupedTable<Long, RequestRow, SchedulingClass> requests() {
        return mRequests;
    }

    /** Returns the requests that were abandoned while running, by id. */
    public Table<Long, AbandonedRequestRow> abandonedRequests() {
        return mAbandoned;
    }

    /** Returns what was learnt of each queue. */
    public Table<String, QueueStatsRow> queueStats() {
        return mQueueLoads;
    }

    /** Returns the claims of requests at hand to their idempotency keys, by request. */
    public Table<Long, IdempotencyClaimRow> idempotencyClaims() {
        return mOnceClaims;
    }

    /** Returns the idempotency keys that this entry remembers as their home. */
    public Table<IdempotencyKey, IdempotencyKeyRow> idempotencyKeys() {
        return mOnceKeys;
    }

    /** Returns since when this entry may be the home of idempotency keys. */
    public CoordinatorTermRow coordinatorTerm() {
        return mOnceTenure.find(SELF).orElseThrow();
    }

    /** Returns the table of the one row about this entry as a home of idempotency keys. */
    public Table<String, CoordinatorTermRow> coordinatorTermTable() {
        return mOnceTenure;
    }

    /** Returns the members that were homes of idempotency keys, by member id. */
    public Table<String, FormerCoordinatorRow> formerCoordinators() {
        return mFormerHomes;
    }

    /** Returns the release notes that operators wait for, by call. */
    public Table<Long, PendingNoteRow> pendingNotes() {
        return mPendingNotes;
    }

    /** Returns the store calls that are out, by kind of record. */
    public Table<RecordKind, StoreCallRow> storeCalls() {
        return mStoreCalls;
    }

    /** Returns the records about hosts as last seen. */
    public Table<RecordKey, FleetRow> fleetRecords() {
        return mFleet;
    }

    /** Returns how current the records about hosts are. */
    public FleetSyncRow fleetSync() {
        return mFleetSync.find(SELF).orElseThrow();
    }

    /** Returns the table of the one row about how current the records about hosts are. */
    public Table<String, FleetSyncRow> fleetSyncTable() {
        return mFleetSync;
    }

    /** Returns the writes of records about hosts that are out. */
    public Table<RecordKey, StoreCallRow> fleetWrites() {
        return mFleetCalls;
    }

    /** Returns the records about hosts that this tick is about to write. */
    public Table<RecordKey, FleetRecord> fleetDrafts() {
        return mFleetDrafts;
    }

    /** Returns the platform's list of hosts by id. */
    public Table<String, PlatformHostRow> platformHosts() {
        return mPlatformHosts;
    }

    /** Returns the outages under way, by host. */
    public Table<String, OutageRow> outages() {
        return mOutages;
    }

    /** Returns the reboots that this entry has asked for, by host. */
    public Table<String, RebootRow> reboots() {
        return mReboots;
    }

    /** Returns the hosts that are rebooted in the newest wave, by wave and host. */
    public Table<String, RebootedHostRow> rebootedHosts() {
        return mWaveDone;
    }

    /** Returns the operators' commands about the maintenance wave, by call. */
    public Table<Long, PendingWaveRow> pendingWaves() {
        return mPendingWaves;
    }

    /** Returns how many hosts pools are short of, by pool. */
    public Table<String, PoolShortfallRow> poolShortfalls() {
        return mPoolNeeds;
    }

    /** Returns the times and limits of the decisions. */
    public ControlSettings settings() {
        return mSettings.find(SELF).orElseThrow();
    }
}
