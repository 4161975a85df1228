package org.hibiscususher.standin.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.membership.RendezvousHash;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.PlatformHost;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.NodeStage;
import org.hibiscususher.wire.yaml.NoteReader;

/**
 * A virtual site for tests of membership.
 *
 * <p>After every virtual millisecond it checks that no entry goes back to an earlier epoch of the
 * membership record, and that in each epoch at most one process is the allocator of a permit group:
 * two allocators would grant the same permits twice.
 */
final class MembershipSite {
    private static final List<String> PERMIT_GROUPS =
            List.of("pool:parts", "pool:spare", "team:fitters");

    private final VirtualSite mSite;
    private final Map<VirtualEntry, Long> mLastEpochs = new HashMap<>();
    private final Map<String, VirtualEntry> mAllocatorsByEpoch = new HashMap<>();
    private final int mEntryCount;

    /** Starts entries e1, e2, ... over three zones and waits until they have joined. */
    MembershipSite(long seed, int entryCount) {
        mSite = VirtualSite.create(seed, ControlSettings.DEFAULT);
        mEntryCount = entryCount;
        mSite.setAfterStep(this::checkEpochs);
        for (int i = 1; i <= entryCount; i++) {
            mSite.start("e" + i, "z" + i % 3);
        }
        mSite.run(3_000);
    }

    VirtualSite site() {
        return mSite;
    }

    /** Checks that epochs never decrease and that a group has one allocator in an epoch. */
    private void checkEpochs() {
        for (VirtualEntry entry : mSite.entries().values()) {
            MembershipRecord record = entry.world().membership().record();
            long before = mLastEpochs.getOrDefault(entry, -1L);
            assertThat(record.epoch()).as("epoch at %s", entry.id()).isGreaterThanOrEqualTo(before);
            if (record.epoch() == before || !entry.world().node().stage().member()) {
                continue;
            }
            mLastEpochs.put(entry, record.epoch());
            for (String group : PERMIT_GROUPS) {
                if (RendezvousHash.choose(group, record).equals(Optional.of(entry.id()))) {
                    VirtualEntry other =
                            mAllocatorsByEpoch.putIfAbsent(record.epoch() + " " + group, entry);
                    assertThat(other == null || other == entry)
                            .as("one allocator of %s in epoch %d", group, record.epoch())
                            .isTrue();
                }
            }
        }
    }

    /** Returns the stored membership record. */
    MembershipRecord record() {
        return (MembershipRecord) mSite.store().find(RecordKey.MEMBERSHIP).orElseThrow().value();
    }

    /** Returns the state of a member's latest incarnation, empty if it is not in the record. */
    Optional<MemberState> state(String id) {
        return record().members().stream()
                .filter(m -> m.id().equals(id))
                .reduce((a, b) -> a.incarnation() > b.incarnation() ? a : b)
                .map(m -> m.state());
    }

    /** Returns the number of recorded incarnations in a state. */
    long countInState(MemberState state) {
        return record().members().stream().filter(m -> m.state() == state).count();
    }

    /** Returns whether an entry accepts requests. */
    boolean isServing(String id) {
        return mSite.entries().get(id).world().node().stage() == NodeStage.SERVING;
    }

    /**
     * Runs until a member's latest incarnation has a state, and fails if that exceeds the limit.
     *
     * @return the elapsed virtual time, in milliseconds
     */
    long awaitState(String id, MemberState state, long limitMs) {
        long startMs = mSite.nowMs();
        while (!state(id).equals(Optional.of(state)) && mSite.nowMs() - startMs < limitMs) {
            mSite.run(10);
        }
        assertThat(state(id)).contains(state);
        return mSite.nowMs() - startMs;
    }

    /**
     * Cuts or restores the links between an entry and all others.
     *
     * @param inbound whether to change the links to the entry
     * @param outbound whether to change the links from the entry
     * @param cut true to cut them, false to restore them
     */
    void setLinksCut(String id, boolean inbound, boolean outbound, boolean cut) {
        for (int i = 1; i <= mEntryCount; i++) {
            if (inbound) {
                mSite.network().setCut("e" + i, id, cut);
            }
            if (outbound) {
                mSite.network().setCut(id, "e" + i, cut);
            }
        }
    }

    /**
     * Kills an entry after cutting its links.
     *
     * <p>Peers then get no refused connection, which would prove that the process has ended.
     */
    void killUnreachable(String id) {
        setLinksCut(id, true, true, true);
        mSite.kill(id);
    }

    /** Sends every entry a platform host list that consists of the given hosts. */
    void publishHostList(List<String> ids) {
        mSite.publishHosts(ids.stream().map(id -> new PlatformHost(id, false, "")).toList());
    }

    List<String> entryIds() {
        return mSite.entries().keySet().stream().toList();
    }

    /** Rolls out a pool of one host, a team with a key, and a queue. */
    void openQueue() {
        submit(
                """
                note: opening
                author: anna
                added:
                  pools: [{name: parts}]
                  hosts: [{name: h1, address: "127.0.0.1:1", zone: z1, pool: parts, slots: 200}]
                  teams: [{name: fitters, share: 1, upper limit: 200}]
                  keys: [{name: k, team: fitters, digest: %s}]
                  queues: [{name: lookups, pool: parts, run limit ms: 2000}]
                """
                        .formatted(KeyDigest.ofSecret("fitters").toHex()));
        mSite.run(2_000);
    }

    /** Submits a release note through e1 that withdraws the key of the team. */
    void withdrawKey() {
        submit("note: closing\nauthor: anna\nwithdrawn: {keys: [k]}\n");
    }

    private void submit(String note) {
        var parsed = NoteReader.read("note", note);
        assertThat(parsed.findings()).isEmpty();
        mSite.submitNote("e1", parsed.note());
    }
}
