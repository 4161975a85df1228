package org.hibiscususher.core.note;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hibiscususher.core.config.AvailabilityBudget;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.config.TeamSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class NoteDigestTest {
    private static <T> List<Located<T>> listed(T value) {
        return List.of(new Located<>(value, new SourceLocation("note.yaml", 3, 7)));
    }

    private static ReleaseNote note() {
        HostSpec host =
                new HostSpec("h", "127.0.0.1:9000", "z", "r", "p", 8, new Capacity(64, 128, 2));
        QueueSpec queue =
                new QueueSpec("q", "p", QueueKind.QUICK, Optional.of("t"), 100, 2_500, 400);
        Declarations added =
                new Declarations(
                        listed(new PoolSpec("p", 2, new AvailabilityBudget(3, 1), false)),
                        listed(host),
                        listed(new TeamSpec("t", 3, 40)),
                        listed(new KeySpec("k", "t", KeyDigest.ofSecret("secret"))),
                        listed(queue));
        Withdrawals withdrawn =
                new Withdrawals(
                        listed("p2"), listed("h2"), listed("t2"), listed("k2"), listed("q2"));
        return new ReleaseNote(
                "n", "anna", "", OptionalLong.empty(), added, Declarations.NONE, withdrawn);
    }

    /**
     * The digest is stored with each note, and the same note sent again is recognized by it, also
     * by a later build. It covers the text forms of the declarations, so that it changes when a
     * component of them is renamed.
     */
    @Nested
    class Digest {
        @Test
        void equalsTheOneThatEarlierBuildsStored() {
            assertThat(NoteDigest.of(note())).isEqualTo("144d5f6a361ebd475f9b1b50");
        }
    }
}
