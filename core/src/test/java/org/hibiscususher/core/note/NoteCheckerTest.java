package org.hibiscususher.core.note;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.TeamSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class NoteCheckerTest {
    private static final SourceLocation LOCATION = new SourceLocation("note.yaml", 3, 7);

    private static ReleaseNote note(Declarations added, Withdrawals withdrawn) {
        return new ReleaseNote(
                "n1", "anna", "", OptionalLong.empty(), added, Declarations.NONE, withdrawn);
    }

    private static Declarations team(String id) {
        return new Declarations(
                List.of(),
                List.of(),
                List.of(new Located<>(new TeamSpec(id, 1, 4), LOCATION)),
                List.of(),
                List.of());
    }

    @Nested
    class AcceptedNotes {
        @Test
        void incrementsTheRevisionAndAddsTheTeam() {
            NoteCheckResult checked =
                    NoteChecker.check(note(team("a"), Withdrawals.NONE), Configuration.EMPTY);
            assertThat(checked.findings()).isEmpty();
            assertThat(checked.configuration().revision()).isEqualTo(1);
            assertThat(checked.configuration().teams()).containsOnlyKeys("a");
        }
    }

    @Nested
    class RejectedNotes {
        @Test
        void reportsTheLocationOfAnAddedTeamThatExists() {
            Configuration before =
                    NoteChecker.check(note(team("a"), Withdrawals.NONE), Configuration.EMPTY)
                            .configuration();
            NoteCheckResult checked = NoteChecker.check(note(team("a"), Withdrawals.NONE), before);
            assertThat(checked.findings())
                    .containsExactly(
                            new Finding(LOCATION, "team a exists; list it under \"changed\""));
        }

        @Test
        void reportsTheLocationOfAWithdrawnTeamThatDoesNotExist() {
            Withdrawals withdrawn =
                    new Withdrawals(
                            List.of(),
                            List.of(),
                            List.of(new Located<>("b", LOCATION)),
                            List.of(),
                            List.of());
            NoteCheckResult checked =
                    NoteChecker.check(note(Declarations.NONE, withdrawn), Configuration.EMPTY);
            assertThat(checked.findings())
                    .containsExactly(new Finding(LOCATION, "team b does not exist"));
        }
    }
}
