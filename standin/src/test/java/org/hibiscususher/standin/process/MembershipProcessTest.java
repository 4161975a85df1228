package org.hibiscususher.standin.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MembershipProcessTest {
    @TempDir private Path mFolder;
    private Site mSite;

    @BeforeEach
    void startProcesses() throws IOException, InterruptedException {
        mSite = new Site(mFolder);
        mSite.daemon("entry-1");
        mSite.daemon("entry-2");
        mSite.awaitStatus("entry-1", "entry-2", true);
    }

    @AfterEach
    void endProcesses() {
        mSite.close();
    }

    @Nested
    class KilledProcesses {
        @Test
        void areProvenDeadByTheirRefusingPortAndReplaced()
                throws IOException, InterruptedException {
            mSite.kill("entry-2");
            mSite.awaitStatus("entry-1", "entry-2", false);
            assertThat(mSite.log("entry-1")).contains("member=entry-2 proof=refused");
            mSite.daemon("entry-2");
            mSite.awaitStatus("entry-1", "entry-2", true);
        }
    }

    @Nested
    class StoppedProcesses {
        @Test
        void leaveTheRecord() throws IOException, InterruptedException {
            mSite.stop("entry-2");
            mSite.awaitStatus("entry-1", "entry-2", false);
            assertThat(mSite.log("entry-1")).doesNotContain("dead=1", "proof=");
        }
    }
}
