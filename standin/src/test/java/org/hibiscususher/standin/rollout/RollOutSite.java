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

/**
 * A virtual site with three entries, one pool of two hosts, one team and one queue, with helpers to
 * roll out release notes.
 */
final class RollOutSite {
    private final VirtualSite mSite;
    private int mAddedTeams;

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
        ReplyToNote reply = apply("e1", note(opening));
        if (reply.result() != NoteResult.ACCEPTED) {
            throw new IllegalStateException("first note was not accepted: " + reply);
        }
    }

    VirtualSite site() {
        return mSite;
    }

    /** Parses the YAML text of a release note. */
    static ReleaseNote note(String text) {
        return NoteReader.read("note", text).note();
    }

    /** Returns a note that adds one more team. */
    ReleaseNote teamNote(String id, String author) {
        return teamNote(id, author, "");
    }

    /**
     * Returns a note that adds one more team.
     *
     * @param baseLine line {@code base: <revision>} with the revision that the note requires to be
     *     current, or empty
     */
    ReleaseNote teamNote(String id, String author, String baseLine) {
        return note(
                """
                note: %s
                author: %s
                summary: one more team
                %s
                added: {teams: [{name: team-%d, share: 1, upper limit: 1}]}
                """
                        .formatted(id, author, baseLine, ++mAddedTeams));
    }

    /** Sends a note and waits for the reply, up to 20 s as the command-line tool does at most. */
    ReplyToNote apply(String entry, ReleaseNote note) {
        return await(mSite.submitNote(entry, note), 20_000);
    }

    /** Applies a number of notes that add one team each; all must be accepted. */
    void applyTeams(int count) {
        for (int i = 0; i < count; i++) {
            ReplyToNote reply = apply("e1", teamNote("team-note-" + mAddedTeams, "anna"));
            if (reply.result() != NoteResult.ACCEPTED) {
                throw new IllegalStateException("note was not accepted: " + reply);
            }
        }
    }

    /**
     * Runs until a call has its reply or the limit has passed.
     *
     * @return the reply, null if there is none within the limit
     */
    ReplyToNote await(long callId, long limitMs) {
        long endMs = mSite.nowMs() + limitMs;
        while (!mSite.noteReplies().containsKey(callId) && mSite.nowMs() < endMs) {
            mSite.run(1);
        }
        return mSite.noteReplies().get(callId);
    }

    /** Returns the configuration in force on an entry. */
    Configuration inForce(String entry) {
        return mSite.entries().get(entry).world().configuration();
    }

    /** Returns the distinct configurations in force on the entries, as text. */
    Set<String> distinctConfigurations(String... entries) {
        Set<String> configurations = new TreeSet<>();
        List.of(entries).forEach(e -> configurations.add(inForce(e).toString()));
        return configurations;
    }

    /** Returns the stored head record of the configuration. */
    HeadRecord head() {
        return (HeadRecord) mSite.store().find(RecordKey.HEAD).orElseThrow().value();
    }
}
