package org.hibiscususher.core.world;

import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKey;
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
    private final Table<Long, FoldWriteRow> mFoldWrites = Table.create();
    private final Table<String, MembershipRow> mMembership = Table.create();
    private final Table<String, MemberRow> mMembers = Table.create();
    private final Table<String, MembershipCallRow> mMembershipCall = Table.create();
    private final Table<String, LivenessRow> mLiveness = Table.create();
    private final Table<DeadMemberRow.Key, DeadMemberRow> mDeadMembers = Table.create();
    private final Table<String, FreshnessRow> mFreshness = Table.create();
    private final Table<String, EvidenceRow> mEvidence = Table.create();
    private final Table<Long, StoreCallRow> mHeadReads = Table.create();
    private final Table<KeyDigest, KeySpec> mKeys = Table.create();
    private final GroupedTable<String, HostRow, String> mHosts =
            GroupedTable.createBy(HostRow::pool);
    private final Table<String, EscrowRow> mEscrow = Table.create();
    private final GroupedTable<PermitKey, TotalRow, PermitGroup> mTotals =
            GroupedTable.createBy(t -> t.key().permitGroup());
    private final GroupedTable<PermitKey, HoldingRow, PermitGroup> mHoldings =
            GroupedTable.createBy(h -> h.key().permitGroup());
    private final Table<PermitGroup, AttachmentRow> mAttachments = Table.create();
    private final Table<PermitGroup, ReportRow> mReports = Table.create();
    private final Table<PermitGroup, TenureRow> mTenures = Table.create();
    private final GroupedTable<PermitKey, LedgerRow, PermitGroup> mLedger =
            GroupedTable.createBy(l -> l.key().permitGroup());
    private final GroupedTable<DemandRow.Key, DemandRow, PermitGroup> mDemands =
            GroupedTable.createBy(d -> d.key().group());
    private final GroupedTable<DemandRow.Key, AdviceRow, PermitGroup> mAdvice =
            GroupedTable.createBy(a -> a.key().group());
    private final Table<String, PoolLoadRow> mPoolLoads = Table.create();
    private final GroupedTable<Long, RequestRow, RequestLane> mRequests =
            GroupedTable.createBy(RequestRow::lane);
    private final Table<Long, PendingNoteRow> mPendingNotes = Table.create();
    private final Table<RecordKind, StoreCallRow> mStoreCalls = Table.create();
    private final Table<String, ControlSettings> mSettings = Table.create();

    private World() {}

    /** Creates the tables of an entry that has just started. */
    public static World create(NodeIdentity identity, ControlSettings settings, long nowMs) {
        World world = new World();
        world.mNode.put(SELF, NodeRow.started(identity, nowMs));
        world.mRevision.put(SELF, new RevisionRow(Configuration.EMPTY, nowMs));
        world.mHead.put(SELF, HeadRow.UNSEEN);
        world.mMembership.put(SELF, MembershipRow.UNSEEN);
        world.mEscrow.put(SELF, EscrowRow.NONE);
        world.mMembershipCall.put(SELF, MembershipCallRow.NONE);
        world.mFreshness.put(SELF, FreshnessRow.NONE);
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
    public Table<Long, FoldWriteRow> foldWrites() {
        return mFoldWrites;
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

    /** Returns the reads of the head that are out, by call. */
    public Table<Long, StoreCallRow> headReads() {
        return mHeadReads;
    }

    /** Returns what each other entry has said of the configuration, by member id. */
    public Table<String, EvidenceRow> evidence() {
        return mEvidence;
    }

    /** Returns the keys in force by the digest of their secret. */
    public Table<KeyDigest, KeySpec> keys() {
        return mKeys;
    }

    /** Returns the target hosts by id, grouped by the pool that they serve. */
    public GroupedTable<String, HostRow, String> hosts() {
        return mHosts;
    }

    /** Returns what the escrow has taken in. */
    public EscrowRow escrow() {
        return mEscrow.find(SELF).orElseThrow();
    }

    /** Returns the table of the one row about the escrow. */
    public Table<String, EscrowRow> escrowTable() {
        return mEscrow;
    }

    /** Returns how many permits there may be. */
    public GroupedTable<PermitKey, TotalRow, PermitGroup> totals() {
        return mTotals;
    }

    /** Returns the permits that this entry holds. */
    public GroupedTable<PermitKey, HoldingRow, PermitGroup> holdings() {
        return mHoldings;
    }

    /** Returns the allocators that this entry follows. */
    public Table<PermitGroup, AttachmentRow> attachments() {
        return mAttachments;
    }

    /** Returns the demand that this entry has reported to allocators. */
    public Table<PermitGroup, ReportRow> reports() {
        return mReports;
    }

    /** Returns the groups of permits that this entry allocates. */
    public Table<PermitGroup, TenureRow> tenures() {
        return mTenures;
    }

    /** Returns the holders of the permits that this entry allocates. */
    public GroupedTable<PermitKey, LedgerRow, PermitGroup> ledger() {
        return mLedger;
    }

    /** Returns the demand of the members for the permits that this entry allocates. */
    public GroupedTable<DemandRow.Key, DemandRow, PermitGroup> demands() {
        return mDemands;
    }

    /** Returns what this entry, as allocator, has told the members. */
    public GroupedTable<DemandRow.Key, AdviceRow, PermitGroup> advice() {
        return mAdvice;
    }

    /** Returns the load that runs in pools from other entries. */
    public Table<String, PoolLoadRow> poolLoads() {
        return mPoolLoads;
    }

    /** Returns the requests at hand, in order of arrival, grouped by what they wait for or use. */
    public GroupedTable<Long, RequestRow, RequestLane> requests() {
        return mRequests;
    }

    /** Returns the release notes that operators wait for, by call. */
    public Table<Long, PendingNoteRow> pendingNotes() {
        return mPendingNotes;
    }

    /** Returns the store calls that are out, by kind of record. */
    public Table<RecordKind, StoreCallRow> storeCalls() {
        return mStoreCalls;
    }

    /** Returns the times and limits of the decisions. */
    public ControlSettings settings() {
        return mSettings.find(SELF).orElseThrow();
    }
}
