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

/** A virtual site of some entries whose membership is checked after every millisecond. */
final class Members {
    private static final List<String> GROUPS = List.of("pool:parts", "pool:spare", "team:fitters");

    private final VirtualSite mSite;
    private final Map<VirtualEntry, Long> mEpochs = new HashMap<>();
    private final Map<String, VirtualEntry> mAllocators = new HashMap<>();
    private final int mSize;

    Members(long seed, int size) {
        mSite = VirtualSite.create(seed, ControlSettings.DEFAULT);
        mSize = size;
        mSite.setAfterStep(this::check);
        for (int i = 1; i <= size; i++) {
            mSite.start("e" + i, "z" + i % 3);
        }
        mSite.run(3_000);
    }

    VirtualSite site() {
        return mSite;
    }

    /** Checks that epochs never go back and that a group has one allocator in an epoch. */
    private void check() {
        for (VirtualEntry entry : mSite.entries().values()) {
            MembershipRecord record = entry.world().membership().record();
            long before = mEpochs.getOrDefault(entry, -1L);
            assertThat(record.epoch()).as("epoch at %s", entry.id()).isGreaterThanOrEqualTo(before);
            if (record.epoch() == before || !entry.world().node().stage().member()) {
                continue;
            }
            mEpochs.put(entry, record.epoch());
            for (String group : GROUPS) {
                if (RendezvousHash.choose(group, record).equals(Optional.of(entry.id()))) {
                    VirtualEntry other =
                            mAllocators.putIfAbsent(record.epoch() + " " + group, entry);
                    assertThat(other == null || other == entry)
                            .as("one allocator of %s in epoch %d", group, record.epoch())
                            .isTrue();
                }
            }
        }
    }

    MembershipRecord record() {
        return (MembershipRecord) mSite.store().find(RecordKey.MEMBERSHIP).orElseThrow().value();
    }

    /** Returns the state of the newest process of a member, or empty. */
    Optional<MemberState> state(String id) {
        return record().members().stream()
                .filter(m -> m.id().equals(id))
                .reduce((a, b) -> a.incarnation() > b.incarnation() ? a : b)
                .map(m -> m.state());
    }

    long count(MemberState state) {
        return record().members().stream().filter(m -> m.state() == state).count();
    }

    boolean serves(String id) {
        return mSite.entries().get(id).world().node().stage() == NodeStage.SERVING;
    }

    /**
     * Lets time pass until the newest process of a member has a state; returns how long it took.
     */
    long awaitState(String id, MemberState state, long limitMs) {
        long start = mSite.nowMs();
        while (!state(id).equals(Optional.of(state)) && mSite.nowMs() - start < limitMs) {
            mSite.run(10);
        }
        assertThat(state(id)).contains(state);
        return mSite.nowMs() - start;
    }

    /** Cuts or mends links between an entry and all others. */
    void cut(String id, boolean to, boolean from, boolean cut) {
        for (int i = 1; i <= mSize; i++) {
            if (to) {
                mSite.network().setCut("e" + i, id, cut);
            }
            if (from) {
                mSite.network().setCut(id, "e" + i, cut);
            }
        }
    }

    /** Ends an entry in such a way that nothing answers at its address. */
    void vanish(String id) {
        cut(id, true, true, true);
        mSite.kill(id);
    }

    /** Gives every entry the platform's list, with the named hosts alone. */
    void showHosts(List<String> ids) {
        mSite.publishHosts(ids.stream().map(id -> new PlatformHost(id, false, "")).toList());
    }

    List<String> ids() {
        return mSite.entries().keySet().stream().toList();
    }

    /** Puts a pool, a team with a key and a queue in force everywhere. */
    void open() {
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

    /** Withdraws the key through the first entry. */
    void withdrawKey() {
        submit("note: closing\nauthor: anna\nwithdrawn: {keys: [k]}\n");
    }

    private void submit(String note) {
        var parsed = NoteReader.read("note", note);
        assertThat(parsed.findings()).isEmpty();
        mSite.submitNote("e1", parsed.note());
    }
}
