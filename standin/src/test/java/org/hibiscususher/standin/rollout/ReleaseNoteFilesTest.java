package org.hibiscususher.standin.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.RecordKind;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.message.StoreRecord.SnapshotRecord;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.core.note.Finding;
import org.hibiscususher.core.note.NoteCheckResult;
import org.hibiscususher.core.note.NoteChecker;
import org.hibiscususher.core.note.NoteDigest;
import org.hibiscususher.core.note.ReleaseNote;
import org.hibiscususher.wire.json.RecordCodec;
import org.hibiscususher.wire.yaml.NoteReader;
import org.hibiscususher.wire.yaml.NoteWriter;
import org.hibiscususher.wire.yaml.ParsedNote;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests reading, checking, exporting and encoding the release notes of files. */
class ReleaseNoteFilesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");
    private static final Path GOLDEN = Path.of("src", "test", "resources", "golden");

    private static ParsedNote read(Path file) throws IOException {
        return NoteReader.read(file.getFileName().toString(), Files.readString(file));
    }

    private static String joinLines(List<Finding> findings) {
        return findings.stream().map(f -> f + "\n").collect(Collectors.joining());
    }

    /** Checks a note, asserts that its delta yields the checked configuration, and returns that. */
    private static Configuration apply(ReleaseNote note, Configuration before) {
        NoteCheckResult checked = NoteChecker.check(note, before);
        assertThat(checked.findings()).isEmpty();
        assertThat(checked.delta().applyTo(before)).isEqualTo(checked.configuration());
        return checked.configuration();
    }

    /** Applies the notes of an example site in the order of their file names. */
    private static Configuration site(String name) throws IOException {
        Configuration configuration = Configuration.EMPTY;
        try (Stream<Path> files = Files.list(EXAMPLES.resolve(name))) {
            for (Path file : files.sorted().toList()) {
                ParsedNote parsed = read(file);
                assertThat(parsed.findings()).isEmpty();
                configuration = apply(parsed.note(), configuration);
            }
        }
        return configuration;
    }

    @Nested
    class Examples {
        @ParameterizedTest
        @CsvSource({"obrotowa,40,4", "office,35,3"})
        void matchTheExpectedSites(String name, int hosts, int zones) throws IOException {
            Configuration site = site(name);
            assertThat(site.hosts()).hasSize(hosts);
            assertThat(site.hosts().values().stream().map(h -> h.zone()).distinct()).hasSize(zones);
            assertThat(site.pools()).hasSize(5);
            assertThat(site.pools().values().stream().filter(p -> p.spare())).hasSize(1);
        }
    }

    @Nested
    class Export {
        @ParameterizedTest
        @ValueSource(strings = {"obrotowa", "office"})
        void recreatesTheConfiguration(String name) throws IOException {
            Configuration site = site(name);
            ParsedNote exported = NoteReader.read("export", NoteWriter.write(site));
            assertThat(exported.findings()).isEmpty();
            Configuration imported = apply(exported.note(), Configuration.EMPTY);
            assertThat(imported.pools()).isEqualTo(site.pools());
            assertThat(imported.hosts()).isEqualTo(site.hosts());
            assertThat(imported.teams()).isEqualTo(site.teams());
            assertThat(imported.keys()).isEqualTo(site.keys());
            assertThat(imported.queues()).isEqualTo(site.queues());
            assertThat(NoteWriter.write(imported).lines().skip(3))
                    .containsExactlyElementsOf(NoteWriter.write(site).lines().skip(3).toList());
        }
    }

    @Nested
    class Records {
        @ParameterizedTest
        @ValueSource(strings = {"obrotowa", "office"})
        void areEqualAfterEncodingAndDecoding(String name) throws IOException {
            Configuration site = site(name);
            ReleaseNote note =
                    NoteReader.read("n", "note: n\nauthor: a\nwithdrawn: {keys: [k]}\n").note();
            AcceptedNote accepted =
                    new AcceptedNote(
                            site.revision(),
                            "n",
                            "a",
                            "",
                            5,
                            NoteDigest.of(note),
                            "",
                            org.hibiscususher.core.config.ConfigurationDelta.between(
                                    Configuration.EMPTY, site),
                            true);
            HeadRecord head =
                    new HeadRecord(
                            site.revision(),
                            1,
                            "s",
                            "h",
                            List.of(accepted, accepted.withoutDelta()));
            assertThat(RecordCodec.decode(RecordKey.HEAD, RecordCodec.encode(head)))
                    .isEqualTo(head);
            SnapshotRecord snapshot = new SnapshotRecord(site);
            assertThat(
                            RecordCodec.decode(
                                    new RecordKey(RecordKind.SNAPSHOT, "s"),
                                    RecordCodec.encode(snapshot)))
                    .isEqualTo(snapshot);
        }
    }

    @Nested
    class Findings {
        @Test
        void fromParsingAreReportedTogether() throws IOException {
            ParsedNote parsed = read(GOLDEN.resolve("text-check.yaml"));
            assertGolden("text-check.txt", joinLines(parsed.findings()));
        }

        @Test
        void fromTheConfigurationCheckAreReportedTogether() throws IOException {
            Configuration before =
                    apply(
                            read(GOLDEN.resolve("whole-check-before.yaml")).note(),
                            Configuration.EMPTY);
            ParsedNote parsed = read(GOLDEN.resolve("whole-check.yaml"));
            assertThat(parsed.findings()).isEmpty();
            NoteCheckResult checked = NoteChecker.check(parsed.note(), before);
            assertThat(checked.acceptable()).isFalse();
            assertGolden("whole-check.txt", joinLines(checked.findings()));
        }

        private void assertGolden(String name, String text) throws IOException {
            assertThat(text).isEqualTo(Files.readString(GOLDEN.resolve(name)));
        }
    }
}
