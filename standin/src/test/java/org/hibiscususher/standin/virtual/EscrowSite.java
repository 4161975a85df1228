package org.hibiscususher.standin.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.message.Output.SwapRecord;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.HostStage;
import org.hibiscususher.wire.yaml.NoteReader;

/** Four entries, one pool of two hosts and two teams, audited after each virtual millisecond. */
final class EscrowSite {
    static final int RUN_LIMIT_MS = 400;
    static final int SLOTS = 4;

    private final VirtualSite mSite;
    private final Map<String, Integer> mLimits = new HashMap<>();
    private final Map<PermitKey, Integer> mHeldBefore = new HashMap<>();

    EscrowSite(long seed) {
        mSite = VirtualSite.create(seed, ControlSettings.DEFAULT);
        for (int i = 1; i <= 4; i++) {
            mSite.start("e" + i, "z" + i);
        }
        mSite.run(500);
        apply(
                """
                note: opening
                author: anna
                added:
                  pools: [{name: parts, quick reserve: 2}]
                  hosts:
                    - {name: h1, address: "127.0.0.1:1", zone: z1, pool: parts, slots: 4}
                    - {name: h2, address: "127.0.0.1:2", zone: z2, pool: parts, slots: 4}
                  teams:
                    - {name: fitters, share: 1, upper limit: 7}
                    - {name: sellers, share: 1, upper limit: 3}
                  keys:
                    - {name: kf, team: fitters, digest: %s}
                    - {name: ks, team: sellers, digest: %s}
                  queues:
                    - {name: lookups, pool: parts, run limit ms: 400, max waiting: 500}
                    - {name: batches, pool: parts, kind: long, run limit ms: 400}
                """
                        .formatted(
                                KeyDigest.ofSecret("fitters").toHex(),
                                KeyDigest.ofSecret("sellers").toHex()));
        mLimits.put("fitters", 7);
        mLimits.put("sellers", 3);
        mSite.setAfterStep(this::audit);
    }

    VirtualSite site() {
        return mSite;
    }

    void apply(String note) {
        long call = mSite.submitNote(firstRunning(), NoteReader.read("note", note).note());
        for (int i = 0; i < 200 && !mSite.noteReplies().containsKey(call); i++) {
            mSite.run(100);
        }
        assertThat(mSite.noteReplies().get(call).result()).isEqualTo(NoteResult.ACCEPTED);
    }

    private String firstRunning() {
        return mSite.entries().values().stream()
                .filter(e -> e.processState() == ProcessState.RUNNING)
                .findFirst()
                .orElseThrow()
                .id();
    }

    /** Lowers or raises a team's upper limit. */
    void setLimit(String team, int limit) {
        mLimits.merge(team, limit, Math::max);
        apply(
                "note: n%d\nauthor: anna\nchanged:\n  teams: [{name: %s, upper limit: %d}]\n"
                        .formatted(mSite.nowMs(), team, limit));
        mLimits.put(team, limit);
    }

    /** Writes another state of a member into the membership record, or removes it. */
    void mark(String id, MemberState state, boolean listed) {
        VersionedRecord found = mSite.store().find(RecordKey.MEMBERSHIP).orElseThrow();
        MembershipRecord record = (MembershipRecord) found.value();
        List<Member> members = new ArrayList<>();
        for (Member m : record.members()) {
            if (!m.id().equals(id)) {
                members.add(m);
            } else if (listed) {
                members.add(new Member(id, m.incarnation(), m.address(), m.zone(), state));
            }
        }
        MembershipRecord next = new MembershipRecord(record.epoch() + 1, members);
        mSite.store()
                .swap(
                        "test",
                        new SwapRecord(0, RecordKey.MEMBERSHIP, found.version(), next),
                        answer -> {});
        mSite.run(5);
    }

    /** Returns the entry that allocates a group of permits. */
    VirtualEntry allocator(PermitKey key) {
        return mSite.entries().values().stream()
                .filter(e -> e.processState() == ProcessState.RUNNING)
                .filter(e -> e.world().allocatorTerms().contains(key.permitGroup()))
                .findFirst()
                .orElseThrow();
    }

    /** Sets a host's stage on all entries. */
    void setStage(String host, HostStage stage) {
        mSite.entries()
                .values()
                .forEach(e -> e.world().hosts().update(host, h -> h.withService(h.pool(), stage)));
    }

    /** Lets every running entry's callers ask for much, for a while. */
    void load(int ms, int runMs) {
        for (int i = 0; i < ms; i += 10) {
            for (VirtualEntry entry : mSite.entries().values()) {
                int dice = mSite.random().nextInt(12);
                String team = dice % 2 == 0 ? "fitters" : "sellers";
                if (dice < 3 && entry.processState() != ProcessState.DEAD) {
                    String queue = dice == 2 ? "batches" : "lookups";
                    mSite.sendRequest(entry.id(), queue, team, 1 + mSite.random().nextInt(runMs));
                }
            }
            mSite.run(10);
        }
    }

    /** Returns how many permits all processes that have not ended hold. */
    int held(PermitKey key) {
        int held = 0;
        for (VirtualEntry entry : mSite.entries().values()) {
            if (entry.processState() != ProcessState.DEAD) {
                held += entry.world().holdings().find(key).map(HoldingRow::held).orElse(0);
            }
        }
        return held;
    }

    /** Returns whether the allocator has as many permits out as given within a time. */
    boolean reaches(PermitKey key, int count, int withinMs) {
        for (int i = 0; i < withinMs; i++) {
            mSite.run(1);
            if (allocator(key).world().ledger().find(key).orElseThrow().outstanding() == count) {
                return true;
            }
        }
        return false;
    }

    private void audit() {
        for (VirtualTarget target : mSite.targets().values()) {
            assertThat(target.runningRequests())
                    .as("running on " + target.id())
                    .isLessThanOrEqualTo(SLOTS);
            check(PermitKey.slot("parts", target.id()), SLOTS);
        }
        mLimits.forEach(
                (team, limit) -> {
                    int running =
                            mSite.targets().values().stream()
                                    .mapToInt(t -> t.runningRequests(team))
                                    .sum();
                    int allowed = check(PermitKey.unit(team), limit);
                    assertThat(running).as("running of " + team).isLessThanOrEqualTo(allowed);
                });
        check(PermitKey.longRun("parts"), 2 * SLOTS - 2);
    }

    /** Checks that no more is held than the limit, or than before if a lowered limit came later. */
    private int check(PermitKey key, int limit) {
        int allowed = Math.max(limit, mHeldBefore.getOrDefault(key, 0));
        int held = held(key);
        assertThat(held).as("held of " + key).isLessThanOrEqualTo(allowed);
        mHeldBefore.put(key, held);
        return allowed;
    }
}
