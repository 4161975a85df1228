package org.hibiscususher.standin.rollout;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.message.Output.ReplyToNote;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.note.ReleaseNote;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.standin.virtual.VirtualSite;
import org.hibiscususher.wire.yaml.NoteReader;

/** Three entries in virtual time, and short ways to send them release notes. */
final class RollOutSite {
    private final VirtualSite mSite;
    private int mTeams;

    RollOutSite(long seed) {
        mSite = VirtualSite.create(seed, ControlSettings.DEFAULT);
        for (int i = 1; i <= 3; i++) {
            mSite.start("e" + i, "z" + i);
        }
        mSite.run(1_000);
        String opening =
                """
                note: opening
                author: anna
                summary: one pool
                added:
                  pools: [{name: parts}]
                  hosts:
                    - {name: h1, address: "127.0.0.1:1", zone: z1, pool: parts, slots: 1}
                    - {name: h2, address: "127.0.0.1:2", zone: z2, pool: parts, slots: 1}
                  teams: [{name: fitters, share: 1, upper limit: 9}]
                  keys: [{name: fitters-key, team: fitters, digest: %s}]
                  queues: [{name: lookups, pool: parts, wait limit ms: 9000}]
                """
                        .formatted(KeyDigest.ofSecret("fitters").toHex());
        ReplyToNote answer = apply("e1", note(opening));
        if (answer.result() != NoteResult.ACCEPTED) {
            throw new IllegalStateException(answer.toString());
        }
    }

    VirtualSite site() {
        return mSite;
    }

    static ReleaseNote note(String text) {
        return NoteReader.read("note", text).note();
    }

    /** Returns a note that adds one more team. */
    ReleaseNote teamNote(String id, String author) {
        return teamNote(id, author, "");
    }

    /** Returns a note that adds one more team and builds on a revision. */
    ReleaseNote teamNote(String id, String author, String base) {
        return note(
                """
                note: %s
                author: %s
                summary: one more team
                %s
                added: {teams: [{name: team-%d, share: 1, upper limit: 1}]}
                """
                        .formatted(id, author, base, ++mTeams));
    }

    /** Sends a note and waits for the answer, for the tool's longest wait at most. */
    ReplyToNote apply(String entry, ReleaseNote note) {
        return await(mSite.submitNote(entry, note), 20_000);
    }

    /** Applies further notes, each of one team. */
    void applyTeams(int n) {
        for (int i = 0; i < n; i++) {
            ReplyToNote answer = apply("e1", teamNote("team-note-" + mTeams, "anna"));
            if (answer.result() != NoteResult.ACCEPTED) {
                throw new IllegalStateException(answer.toString());
            }
        }
    }

    /** Lets time pass until a call is answered, or the limit is over. */
    ReplyToNote await(long call, long limitMs) {
        long end = mSite.nowMs() + limitMs;
        while (!mSite.noteReplies().containsKey(call) && mSite.nowMs() < end) {
            mSite.run(1);
        }
        return mSite.noteReplies().get(call);
    }

    /** Returns the configuration in force on an entry. */
    Configuration inForce(String entry) {
        return mSite.entries().get(entry).world().configuration();
    }

    /** Returns the different configurations in force on the entries. */
    Set<String> statesInForce(String... entries) {
        Set<String> states = new TreeSet<>();
        List.of(entries).forEach(e -> states.add(inForce(e).toString()));
        return states;
    }

    /** Returns the head as the store has it. */
    HeadRecord head() {
        return (HeadRecord) mSite.store().find(RecordKey.HEAD).orElseThrow().value();
    }
}
