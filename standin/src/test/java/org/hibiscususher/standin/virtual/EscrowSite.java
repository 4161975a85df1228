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

/**
 * A virtual site with four entries, one pool of two hosts, and two teams.
 *
 * <p>After every virtual millisecond it checks that no permit is held twice: the permits held by
 * all live processes, and the requests running on the hosts, stay within the limits.
 */
final class EscrowSite {
    static final int RUN_LIMIT_MS = 400;

    /** Slots of each host. */
    static final int SLOTS = 4;

    private final VirtualSite mSite;
    private final Map<String, Integer> mTeamLimits = new HashMap<>();
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
        mTeamLimits.put("fitters", 7);
        mTeamLimits.put("sellers", 3);
        mSite.setAfterStep(this::checkLimits);
    }

    VirtualSite site() {
        return mSite;
    }

    /** Applies a release note through a running entry and asserts that it is accepted. */
    void apply(String note) {
        long callId = mSite.submitNote(firstRunningEntry(), NoteReader.read("note", note).note());
        for (int i = 0; i < 200 && !mSite.noteReplies().containsKey(callId); i++) {
            mSite.run(100);
        }
        assertThat(mSite.noteReplies().get(callId).result()).isEqualTo(NoteResult.ACCEPTED);
    }

    private String firstRunningEntry() {
        return mSite.entries().values().stream()
                .filter(e -> e.processState() == ProcessState.RUNNING)
                .findFirst()
                .orElseThrow()
                .id();
    }

    /**
     * Changes a team's upper limit.
     *
     * <p>Until the note is accepted, the checks allow the higher of both limits.
     */
    void setLimit(String team, int limit) {
        mTeamLimits.merge(team, limit, Math::max);
        apply(
                "note: n%d\nauthor: anna\nchanged:\n  teams: [{name: %s, upper limit: %d}]\n"
                        .formatted(mSite.nowMs(), team, limit));
        mTeamLimits.put(team, limit);
    }

    /**
     * Writes the membership record with another state of a member, or without the member.
     *
     * @param listed false to remove the member
     */
    void writeMemberState(String id, MemberState state, boolean listed) {
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

    /** Returns the running entry that is the allocator of the group of a permit. */
    VirtualEntry allocator(PermitKey key) {
        return mSite.entries().values().stream()
                .filter(e -> e.processState() == ProcessState.RUNNING)
                .filter(e -> e.world().allocatorTerms().contains(key.permitGroup()))
                .findFirst()
                .orElseThrow();
    }

    /** Sets the stage of a host in the tables of all entries. */
    void setStage(String host, HostStage stage) {
        mSite.entries()
                .values()
                .forEach(e -> e.world().hosts().update(host, h -> h.withService(h.pool(), stage)));
    }

    /**
     * Runs for a time under random load.
     *
     * <p>Every 10 ms each entry that has not ended gets a request with probability 1/4; a third of
     * the requests are for the long queue.
     *
     * @param ms duration, in milliseconds
     * @param maxRunMs longest run of a request, in milliseconds
     */
    void runUnderLoad(int ms, int maxRunMs) {
        for (int i = 0; i < ms; i += 10) {
            for (VirtualEntry entry : mSite.entries().values()) {
                int choice = mSite.random().nextInt(12);
                String team = choice % 2 == 0 ? "fitters" : "sellers";
                if (choice < 3 && entry.processState() != ProcessState.DEAD) {
                    String queue = choice == 2 ? "batches" : "lookups";
                    mSite.sendRequest(
                            entry.id(), queue, team, 1 + mSite.random().nextInt(maxRunMs));
                }
            }
            mSite.run(10);
        }
    }

    /** Returns the number of permits held by all processes that have not ended. */
    int held(PermitKey key) {
        int held = 0;
        for (VirtualEntry entry : mSite.entries().values()) {
            if (entry.processState() != ProcessState.DEAD) {
                held += entry.world().holdings().find(key).map(HoldingRow::held).orElse(0);
            }
        }
        return held;
    }

    /** Runs until the allocator's count of outstanding permits has a value or the time is up. */
    boolean awaitOutstanding(PermitKey key, int count, int withinMs) {
        for (int i = 0; i < withinMs; i++) {
            mSite.run(1);
            if (allocator(key).world().ledger().find(key).orElseThrow().outstanding() == count) {
                return true;
            }
        }
        return false;
    }

    private void checkLimits() {
        for (VirtualTarget target : mSite.targets().values()) {
            assertThat(target.runningRequests())
                    .as("requests running on " + target.id())
                    .isLessThanOrEqualTo(SLOTS);
            checkHeld(PermitKey.slot("parts", target.id()), SLOTS);
        }
        mTeamLimits.forEach(
                (team, limit) -> {
                    int running =
                            mSite.targets().values().stream()
                                    .mapToInt(t -> t.runningRequests(team))
                                    .sum();
                    int allowed = checkHeld(PermitKey.unit(team), limit);
                    assertThat(running)
                            .as("requests running for " + team)
                            .isLessThanOrEqualTo(allowed);
                });
        checkHeld(PermitKey.longRun("parts"), 2 * SLOTS - 2);
    }

    /**
     * Checks that the permits held don't exceed the limit.
     *
     * <p>After the limit was lowered, more may still be held, but not more than a millisecond ago.
     *
     * @return the number of permits that may be held
     */
    private int checkHeld(PermitKey key, int limit) {
        int allowed = Math.max(limit, mHeldBefore.getOrDefault(key, 0));
        int held = held(key);
        assertThat(held).as("permits held of " + key).isLessThanOrEqualTo(allowed);
        mHeldBefore.put(key, held);
        return allowed;
    }
}
