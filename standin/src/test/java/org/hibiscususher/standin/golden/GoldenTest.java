package org.hibiscususher.standin.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Compares the transcript of each {@link GoldenScenario} with its golden file. A difference means
 * that operators or callers see something else than before. {@code bin/golden} sets the system
 * property {@code golden.write}, with which the files are rewritten from the current transcripts.
 */
class GoldenTest {
    private static final Path GOLDEN_FOLDER = Path.of("src", "test", "resources", "golden");

    @Nested
    class Scenarios {
        @ParameterizedTest
        @EnumSource(GoldenScenario.class)
        void matchTheirGoldenFiles(GoldenScenario scenario) throws IOException {
            TranscriptRecorder recorder = new TranscriptRecorder();
            scenario.run(recorder);
            Path file = GOLDEN_FOLDER.resolve(scenario.fileName());
            if (Boolean.getBoolean("golden.write")) {
                Files.createDirectories(GOLDEN_FOLDER);
                Files.writeString(file, recorder.transcript());
            }
            assertThat(recorder.transcript()).isEqualTo(Files.readString(file));
        }
    }
}
