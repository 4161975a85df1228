package org.hibiscususher.standin.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Compares whole sessions with their golden files; {@code bin/golden} writes them anew. */
class GoldenTest {
    private static final Path FOLDER = Path.of("src", "test", "resources", "golden");

    @Nested
    class Sessions {
        @ParameterizedTest
        @EnumSource(Session.class)
        void areAsWritten(Session session) throws IOException {
            Recorder recorder = new Recorder();
            session.play(recorder);
            Path file = FOLDER.resolve(session.file());
            if (Boolean.getBoolean("golden.write")) {
                Files.createDirectories(FOLDER);
                Files.writeString(file, recorder.text());
            }
            assertThat(recorder.text()).isEqualTo(Files.readString(file));
        }
    }
}
