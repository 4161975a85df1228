package org.hibiscususher.wire.format;

import java.io.IOException;
import java.math.BigInteger;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hibiscususher.core.config.AvailabilityBudget;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.ConfigurationDelta;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.message.ClaimedPermit;
import org.hibiscususher.core.message.FleetRecord;
import org.hibiscususher.core.message.IdempotencyClaimResult;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.Outage;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.RecordKind;
import org.hibiscususher.core.message.StoreRecord;
import org.hibiscususher.core.message.TeamDemand;
import org.hibiscususher.core.message.TeamEntitlement;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.core.message.WaveState;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.core.scheduler.message.StepProgress;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.message.TaskProgress;
import org.hibiscususher.core.scheduler.message.UsedExecutor;
import org.hibiscususher.wire.json.RecordCodec;
import org.hibiscususher.wire.peer.PeerCodec;
import org.hibiscususher.wire.scheduler.ForwardCodec;
import org.hibiscususher.wire.scheduler.ForwardMessage;
import org.hibiscususher.wire.scheduler.SchedulerRecordCodec;

/** A sample of each stored record and of each message between entries, with all fields given. */
final class FormatSamples {
    private static final Configuration CONFIGURATION =
            new Configuration(
                    4,
                    new TreeMap<>(
                            Map.of(
                                    "p1",
                                    new PoolSpec("p1", 2, new AvailabilityBudget(3, 1), false),
                                    "p2",
                                    new PoolSpec("p2", 0, AvailabilityBudget.ONE_HOST, true))),
                    new TreeMap<>(
                            Map.of(
                                    "h1",
                                    new HostSpec(
                                            "h1",
                                            "127.0.0.1:9000",
                                            "z1",
                                            "r1",
                                            "p1",
                                            8,
                                            new Capacity(64, 128, 2)))),
                    new TreeMap<>(Map.of("t1", new TeamSpec("t1", 3, 40))),
                    new TreeMap<>(
                            Map.of("k1", new KeySpec("k1", "t1", KeyDigest.ofSecret("secret")))),
                    new TreeMap<>(
                            Map.of(
                                    "q1",
                                    new QueueSpec(
                                            "q1",
                                            "p1",
                                            QueueKind.QUICK,
                                            Optional.of("t1"),
                                            100,
                                            2_500,
                                            400),
                                    "q2",
                                    new QueueSpec(
                                            "q2",
                                            "p1",
                                            QueueKind.LONG,
                                            Optional.empty(),
                                            10,
                                            9_000,
                                            60_000))));

    private static final AcceptedNote NOTE =
            new AcceptedNote(
                    4,
                    "note-1",
                    "author",
                    "summary",
                    1_700_000_000_123L,
                    "0123456789abcdef",
                    "pools +p1",
                    ConfigurationDelta.between(Configuration.EMPTY, CONFIGURATION),
                    true);

    private static final StepSpec STEP =
            new StepSpec(
                    3,
                    Resources.of(1, 2, 3),
                    4,
                    List.of(0),
                    true,
                    true,
                    true,
                    "label",
                    "rack",
                    5,
                    true,
                    true,
                    "image",
                    6,
                    true,
                    7);

    private static final JobSpec SPEC =
            new JobSpec(
                    "text", List.of(StepSpec.of(1, Resources.NONE, 9, List.of()), STEP), 2, 3, 4);

    private static final RecordKey HOST_KEY = RecordKey.host("h1");

    private static final StoreRecord.HostRecord HOST =
            new StoreRecord.HostRecord("h1", "p2", "p1", 9);

    private FormatSamples() {}

    /** Returns the records of configuration, membership and hosts, by key. */
    static Map<RecordKey, StoreRecord> records() {
        Map<RecordKey, StoreRecord> records = new LinkedHashMap<>();
        records.put(
                RecordKey.HEAD,
                new StoreRecord.HeadRecord(4, 3, "snapshot-3", "history-2", List.of(NOTE)));
        records.put(
                RecordKey.MEMBERSHIP,
                new StoreRecord.MembershipRecord(
                        7,
                        List.of(
                                new Member("e1", 11, "10.0.0.1:7002", "z1", MemberState.ACTIVE),
                                new Member("e2", 12, "10.0.0.2:7002", "z2", MemberState.LEAVING),
                                new Member("e3", 13, "10.0.0.3:7002", "z3", MemberState.SILENT),
                                new Member("e4", 14, "10.0.0.4:7002", "z1", MemberState.DEAD))));
        records.put(
                new RecordKey(RecordKind.SNAPSHOT, "snapshot-3"),
                new StoreRecord.SnapshotRecord(CONFIGURATION));
        records.put(
                new RecordKey(RecordKind.HISTORY, "history-2"),
                new StoreRecord.HistoryRecord("history-1", List.of(NOTE)));
        records.put(
                new RecordKey(RecordKind.NOTE, "note-1"),
                new StoreRecord.NoteRecord(4, "0123456789abcdef", "history-2"));
        records.put(HOST_KEY, HOST);
        records.put(
                RecordKey.outages("p1"),
                new StoreRecord.OutageRecord(
                        "p1",
                        "wave-1",
                        new TreeSet<>(List.of("h2", "h3")),
                        new TreeMap<>(
                                Map.of(
                                        "h1",
                                        Outage.move(9, "p2").withIdle(),
                                        "h4",
                                        Outage.reboot(2, "boot-1")))));
        for (WaveState state : WaveState.values()) {
            records.put(
                    new RecordKey(RecordKind.WAVE, state == WaveState.PLANNED ? "" : "" + state),
                    new StoreRecord.WaveRecord(
                            "wave-1", state, "detail", new TreeSet<>(List.of("h1", "h2"))));
        }
        return records;
    }

    /** Returns the scheduler's records. */
    static List<StoredRecord> schedulerRecords() {
        return List.of(
                new StoredRecord.Owner("n", 5, "a:1"),
                new StoredRecord.Term(7, "n", 5, true, "a:1", List.of("j", "j.0.0.1")),
                new StoredRecord.Job(
                        "id",
                        new JobPolicy("q", "p", 1, 2, 1.6, 600, true),
                        JobAddress.UNKNOWN,
                        "t",
                        SPEC,
                        99),
                new StoredRecord.Progress(
                        "id",
                        JobState.CANCELLED,
                        List.of(new StepProgress(1, 0, BigInteger.valueOf(5).shiftLeft(70))),
                        List.of(new TaskProgress(1, 0, 3, List.of(1, 1001), "saved"))),
                new StoredRecord.Executors(List.of(new UsedExecutor("x", "p"))),
                new StoredRecord.Wave(3, List.of("h1", "h2")),
                new StoredRecord.HostOrders(List.of("h1", "h2")));
    }

    /** Returns a message with an item of each type. */
    static PeerMessage peerMessage() {
        PermitGroup pool = PermitGroup.pool("p1");
        PermitKey slot = PermitKey.slot("p1", "h1");
        return new PeerMessage(
                "e1",
                11,
                12,
                13,
                14,
                15,
                16,
                17,
                18,
                19,
                List.of(
                        new PeerItem.NoteRelay(List.of(NOTE)),
                        new PeerItem.PermitClaim(
                                1,
                                PermitGroup.team("t1"),
                                List.of(new ClaimedPermit(PermitKey.unit("t1"), 2, 3))),
                        new PeerItem.PermitClaimRequest(2, pool),
                        new PeerItem.GrantCount(3, slot, 4),
                        new PeerItem.ReturnCount(5, PermitKey.longRun("p1"), 6),
                        new PeerItem.GrantAck(7, slot, 8),
                        new PeerItem.ReturnAck(9, slot, 10),
                        new PeerItem.PermitTarget(11, pool, 12, 13),
                        new PeerItem.Demand(pool, List.of(new TeamDemand("t1", 1, 2, 3, 4))),
                        new PeerItem.PoolEntitlements(
                                "p1", List.of(new TeamEntitlement("t1", 1_500))),
                        new PeerItem.FleetRelay(
                                new FleetRecord(HOST_KEY, new VersionedRecord(21, HOST))),
                        new PeerItem.PoolShortfall("p1", -2),
                        new PeerItem.IdempotencyClaim(31, 32, 33, 34),
                        new PeerItem.IdempotencyClaimReply(
                                35, 36, 37, 38, IdempotencyClaimResult.GRANTED),
                        new PeerItem.IdempotencyClaimReply(
                                35, 36, 37, 38, IdempotencyClaimResult.DUPLICATE),
                        new PeerItem.IdempotencyClaimReply(
                                35, 36, 37, 38, IdempotencyClaimResult.NOT_VOUCHED),
                        new PeerItem.IdempotencyRelease(39, 40, 41),
                        new PeerItem.IdempotencyReleaseAck(42, 43)));
    }

    /** Returns the messages between an entry and the owner of the scheduling, by sample name. */
    static Map<String, ForwardMessage> forwardMessages() {
        Map<String, ForwardMessage> messages = new LinkedHashMap<>();
        for (JobRequestKind kind : JobRequestKind.values()) {
            messages.put(
                    "call-" + kind,
                    ForwardMessage.of(
                            4, new JobRequest(kind, "h", "/p/", "key", Optional.of(SPEC), 2)));
        }
        for (JobResponseKind kind : JobResponseKind.values()) {
            messages.put(
                    "answer-" + kind,
                    ForwardMessage.of(5, JobResponse.refusal(kind, 1_500, "why")));
        }
        messages.put("yield", ForwardMessage.relinquishRequest(6, 7));
        messages.put("offer", ForwardMessage.handoverOffer(8, 9));
        return messages;
    }

    /** Returns the encoding of each sample, by its name in the reference file. */
    static Map<String, byte[]> encoded() throws IOException {
        Map<String, byte[]> encoded = new LinkedHashMap<>();
        for (var record : records().entrySet()) {
            encoded.put(
                    RecordCodec.storeKey(record.getKey()), RecordCodec.encode(record.getValue()));
        }
        for (StoredRecord record : schedulerRecords()) {
            encoded.put("scheduler/" + record.name().kind(), SchedulerRecordCodec.encode(record));
        }
        encoded.put("peer", PeerCodec.encode(peerMessage()));
        for (var message : forwardMessages().entrySet()) {
            encoded.put(message.getKey(), ForwardCodec.encode(message.getValue()));
        }
        return encoded;
    }
}
