package org.hibiscususher.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hibiscususher.core.note.Finding;
import org.hibiscususher.core.world.ControlSettings;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    @Nested
    class SettingsPage {
        @Test
        void listsDefaults() throws IOException {
            String page = Files.readString(Path.of("..", "docs", "SETTINGS.md"));
            String sample = page.split("```yaml\n|```\n")[1];
            ParsedSettings parsed = SettingsReader.read("sample", sample);
            assertThat(parsed.findings()).isEmpty();
            assertThat(parsed.settings().control()).isEqualTo(ControlSettings.DEFAULT);
        }
    }

    @Nested
    class Findings {
        @Test
        void areAllReportedWithPositions() {
            String text =
                    """
                    member: e1
                    zone: z1
                    callers: localhost:1
                    peers: 127.0.0.1:99999
                    operators: 127.0.0.1:3
                    control: {heartbeat ms: soon}
                    colour: green
                    """;
            assertThat(SettingsReader.read("e1.yaml", text).findings())
                    .extracting(Finding::toString)
                    .containsExactly(
                            "e1.yaml:1:1: \"platform\" is missing",
                            "e1.yaml:3:10: expected an IP number and port such as"
                                    + " 192.0.2.1:8080, found \"localhost:1\"",
                            "e1.yaml:4:8: expected an IP number and port such as"
                                    + " 192.0.2.1:8080, found \"127.0.0.1:99999\"",
                            "e1.yaml:6:25: expected a whole number from 1 to 60000, found"
                                    + " \"soon\"",
                            "e1.yaml:7:1: unknown key \"colour\"; expected one of [member, zone,"
                                    + " callers, peers, operators, platform, control]");
        }
    }
}
