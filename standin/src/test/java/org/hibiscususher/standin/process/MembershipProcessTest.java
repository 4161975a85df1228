package org.hibiscususher.standin.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Changes of the membership when the process of an entry is killed or shut down. */
class MembershipProcessTest {
    @TempDir private Path mFolder;
    private ProcessSite mSite;

    @BeforeEach
    void startProcesses() throws IOException, InterruptedException {
        mSite = new ProcessSite(mFolder);
        mSite.startDaemon("entry-1");
        mSite.startDaemon("entry-2");
        mSite.awaitStatus("entry-1", "entry-2", true);
    }

    @AfterEach
    void stopProcesses() {
        mSite.close();
    }

    @Nested
    class KilledProcesses {
        @Test
        void areRemovedAfterAConnectionRefusalAndMayRejoin()
                throws IOException, InterruptedException {
            mSite.kill("entry-2");
            mSite.awaitStatus("entry-1", "entry-2", false);
            assertThat(mSite.log("entry-1")).contains("member=entry-2 proof=refused");
            mSite.startDaemon("entry-2");
            mSite.awaitStatus("entry-1", "entry-2", true);
        }
    }

    @Nested
    class ShutDownProcesses {
        @Test
        void leaveTheMembershipWithoutBeingDeclaredDead() throws IOException, InterruptedException {
            mSite.stop("entry-2");
            mSite.awaitStatus("entry-1", "entry-2", false);
            assertThat(mSite.log("entry-1")).doesNotContain("dead=1", "proof=");
        }
    }
}
