package org.hibiscususher.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.ConfigurationDelta;
import org.hibiscususher.core.config.Edits;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.control.ControlNode;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.RecordKind;
import org.hibiscususher.core.message.StoreRecord;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.message.StoreRecord.SnapshotRecord;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.NodeIdentity;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RollOutSystemTest {
    private final ControlNode mNode =
            ControlNode.create(
                    new NodeIdentity("e1", 1, "127.0.0.1:1", "z1"), ControlSettings.DEFAULT, 0);
    private long mNowMs;

    /** Returns the note that sets the one team's share to the revision. */
    private static AcceptedNote note(long revision) {
        TeamSpec team = new TeamSpec("fitters", (int) revision, 1);
        ConfigurationDelta delta =
                new ConfigurationDelta(
                        Edits.none(),
                        Edits.none(),
                        new Edits<>(List.of(team), List.of()),
                        Edits.none(),
                        Edits.none());
        return new AcceptedNote(revision, "n" + revision, "anna", "", 0, "", "", delta, true);
    }

    private static List<AcceptedNote> notes(long from, long to) {
        List<AcceptedNote> notes = new ArrayList<>();
        for (long r = from; r <= to; r++) {
            notes.add(note(r));
        }
        return notes;
    }

    private static HeadRecord head(long snapshot, long to) {
        return new HeadRecord(to, snapshot, "s" + snapshot, "", notes(snapshot + 1, to));
    }

    private static Configuration configuration(long revision) {
        Configuration at = Configuration.EMPTY;
        for (AcceptedNote note : notes(1, revision)) {
            at = note.delta().applyTo(at);
        }
        return at;
    }

    private List<Output> tick(Input... inputs) {
        return mNode.tick(++mNowMs, List.of(inputs));
    }

    private List<Output> watch(long version, StoreRecord record) {
        return tick(new Input.RecordWatched(RecordKey.HEAD, new VersionedRecord(version, record)));
    }

    private List<Output> relay(List<AcceptedNote> notes) {
        return tick(
                new Input.PeerMessageReceived(
                        new PeerMessage(
                                "e2",
                                1,
                                1,
                                1,
                                0,
                                1,
                                0,
                                0,
                                0,
                                0,
                                List.of(new PeerItem.NoteRelay(notes)))));
    }

    private void assertInForce(long revision) {
        assertThat(mNode.world().configuration()).isEqualTo(configuration(revision));
    }

    @Nested
    class Revisions {
        @Test
        void goForwardByHeadAndRelay() {
            watch(1, head(0, 2));
            assertInForce(2);
            relay(notes(1, 4));
            assertInForce(4);
        }

        @Test
        void neverGoBackWhateverIsShown() {
            watch(9, head(0, 5));
            watch(8, head(0, 3));
            assertInForce(5);
            relay(notes(1, 4));
            assertInForce(5);
            tick(snapshotRead(7, 2));
            assertInForce(5);
            watch(10, head(0, 6));
            assertInForce(6);
        }

        @Test
        void neverGoBackToAnOlderSnapshot() {
            watch(1, head(10, 12));
            tick(snapshotRead(1, 10));
            assertInForce(12);
            tick(snapshotRead(1, 2));
            assertInForce(12);
        }

        @Test
        void leaveNoGap() {
            watch(1, head(0, 2));
            relay(notes(4, 6));
            assertInForce(2);
        }
    }

    @Nested
    class Snapshots {
        @Test
        void areReadWhenTheHeadsNotesDoNotReachBack() {
            List<Output> outputs = watch(1, head(10, 12));
            assertInForce(0);
            RecordKey key = new RecordKey(RecordKind.SNAPSHOT, "s10");
            Output.ReadRecord read =
                    outputs.stream()
                            .filter(o -> o instanceof Output.ReadRecord r && r.key().equals(key))
                            .map(o -> (Output.ReadRecord) o)
                            .findFirst()
                            .orElseThrow();
            tick(snapshotRead(read.callId(), 10));
            assertInForce(12);
        }

        @Test
        void areNotAskedForInEveryTickWhenTheStoreFails() {
            watch(1, head(10, 12));
            int asked = 0;
            for (int i = 0; i < 200; i++) {
                List<Output> outputs = tick(new Input.StoreFailed(lastSnapshotCall()));
                asked += (int) outputs.stream().filter(this::asksForSnapshot).count();
            }
            assertThat(asked).isLessThanOrEqualTo(1);
        }

        private long lastSnapshotCall() {
            return mNode.world()
                    .storeCalls()
                    .find(RecordKind.SNAPSHOT)
                    .map(c -> c.callId())
                    .orElse(0L);
        }

        private boolean asksForSnapshot(Output output) {
            return output instanceof Output.ReadRecord read
                    && read.key().kind() == RecordKind.SNAPSHOT;
        }
    }

    private static Input snapshotRead(long callId, long revision) {
        SnapshotRecord snapshot = new SnapshotRecord(configuration(revision));
        return new Input.RecordRead(
                callId,
                new RecordKey(RecordKind.SNAPSHOT, "s" + revision),
                Optional.of(new VersionedRecord(1, snapshot)));
    }
}
