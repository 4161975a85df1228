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

    /**
     * Returns a note that sets the share of the only team to the revision, to tell states apart.
     */
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

    private static HeadRecord head(long snapshotRevision, long revision) {
        return new HeadRecord(
                revision,
                snapshotRevision,
                "s" + snapshotRevision,
                "",
                notes(snapshotRevision + 1, revision));
    }

    private static Configuration configuration(long revision) {
        Configuration state = Configuration.EMPTY;
        for (AcceptedNote note : notes(1, revision)) {
            state = note.delta().applyTo(state);
        }
        return state;
    }

    private List<Output> tick(Input... inputs) {
        return mNode.tick(++mNowMs, List.of(inputs));
    }

    private List<Output> deliverHead(long version, StoreRecord record) {
        return tick(new Input.RecordWatched(RecordKey.HEAD, new VersionedRecord(version, record)));
    }

    private List<Output> deliverRelay(List<AcceptedNote> notes) {
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

    private void assertActive(long revision) {
        assertThat(mNode.world().configuration()).isEqualTo(configuration(revision));
    }

    @Nested
    class Revisions {
        @Test
        void advanceByHeadAndByRelay() {
            deliverHead(1, head(0, 2));
            assertActive(2);
            deliverRelay(notes(1, 4));
            assertActive(4);
        }

        @Test
        void areNotReplacedByOlderHeadsRelaysOrSnapshots() {
            deliverHead(9, head(0, 5));
            deliverHead(8, head(0, 3));
            assertActive(5);
            deliverRelay(notes(1, 4));
            assertActive(5);
            tick(snapshotRead(7, 2));
            assertActive(5);
            deliverHead(10, head(0, 6));
            assertActive(6);
        }

        @Test
        void areNotReplacedByAnOlderSnapshotAfterANewerOne() {
            deliverHead(1, head(10, 12));
            tick(snapshotRead(1, 10));
            assertActive(12);
            tick(snapshotRead(1, 2));
            assertActive(12);
        }

        @Test
        void ignoreNotesAfterAGap() {
            deliverHead(1, head(0, 2));
            deliverRelay(notes(4, 6));
            assertActive(2);
        }
    }

    @Nested
    class Snapshots {
        @Test
        void areReadWhenTheFirstNoteInTheHeadIsTooNew() {
            List<Output> outputs = deliverHead(1, head(10, 12));
            assertActive(0);
            RecordKey key = new RecordKey(RecordKind.SNAPSHOT, "s10");
            Output.ReadRecord read =
                    outputs.stream()
                            .filter(o -> o instanceof Output.ReadRecord r && r.key().equals(key))
                            .map(o -> (Output.ReadRecord) o)
                            .findFirst()
                            .orElseThrow();
            tick(snapshotRead(read.callId(), 10));
            assertActive(12);
        }

        @Test
        void areNotReadInEveryTickWhileTheStoreFails() {
            deliverHead(1, head(10, 12));
            int reads = 0;
            for (int i = 0; i < 200; i++) {
                List<Output> outputs = tick(new Input.StoreFailed(pendingSnapshotCallId()));
                reads += (int) outputs.stream().filter(this::isSnapshotRead).count();
            }
            assertThat(reads).isLessThanOrEqualTo(1);
        }

        private long pendingSnapshotCallId() {
            return mNode.world()
                    .storeCalls()
                    .find(RecordKind.SNAPSHOT)
                    .map(c -> c.callId())
                    .orElse(0L);
        }

        private boolean isSnapshotRead(Output output) {
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
