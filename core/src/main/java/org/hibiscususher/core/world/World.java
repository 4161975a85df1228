package org.hibiscususher.core.world;

import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.RecordKind;
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
    private final Table<String, MembershipRow> mMembership = Table.create();
    private final Table<String, MemberRow> mMembers = Table.create();
    private final Table<String, MembershipCallRow> mMembershipCall = Table.create();
    private final Table<String, LivenessRow> mLiveness = Table.create();
    private final Table<DeadMemberRow.Key, DeadMemberRow> mDeadMembers = Table.create();
    private final Table<String, FreshnessRow> mFreshness = Table.create();
    private final Table<String, EvidenceRow> mEvidence = Table.create();
    private final Table<Long, StoreCallRow> mHeadReads = Table.create();
    private final Table<KeyDigest, KeySpec> mKeys = Table.create();
    private final Table<String, HostRow> mHosts = Table.create();
    private final Table<PermitKey, HoldingRow> mHoldings = Table.create();
    private final Table<PoolLoadRow.Key, PoolLoadRow> mPoolLoads = Table.create();
    private final Table<Long, RequestRow> mRequests = Table.create();
    private final Table<Long, PendingNoteRow> mPendingNotes = Table.create();
    private final Table<RecordKind, StoreCallRow> mStoreCalls = Table.create();
    private final Table<String, ControlSettings> mSettings = Table.create();

    private World() {}

    /** Creates the tables of an entry that has just started. */
    public static World create(NodeIdentity identity, ControlSettings settings, long nowMs) {
        World world = new World();
        world.mNode.put(SELF, NodeRow.started(identity, nowMs));
        world.mRevision.put(SELF, new RevisionRow(Configuration.EMPTY, 0, nowMs));
        world.mMembership.put(SELF, MembershipRow.UNSEEN);
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

    /** Returns the target hosts by id. */
    public Table<String, HostRow> hosts() {
        return mHosts;
    }

    /** Returns the permits that this entry holds. */
    public Table<PermitKey, HoldingRow> holdings() {
        return mHoldings;
    }

    /** Returns the load of whole pools by team. */
    public Table<PoolLoadRow.Key, PoolLoadRow> poolLoads() {
        return mPoolLoads;
    }

    /** Returns the requests at hand, in order of arrival. */
    public Table<Long, RequestRow> requests() {
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
