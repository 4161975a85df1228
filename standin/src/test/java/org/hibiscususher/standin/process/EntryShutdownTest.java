package org.hibiscususher.standin.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.hibiscususher.core.config.KeyDigest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The planned stop of an entry's process. */
class EntryShutdownTest {
    private static final String SECRET = "the-fitters-secret";

    private Site mSite;

    @BeforeEach
    void startProcesses(@TempDir Path folder) throws IOException, InterruptedException {
        mSite = new Site(folder);
        String target = mSite.target("host-1");
        mSite.daemon("entry-1");
        mSite.daemon("entry-2");
        String note =
                """
                note: opening
                author: anna
                added:
                  pools: [{name: parts}]
                  hosts: [{name: host-1, address: "%s", zone: z1, pool: parts, slots: 8}]
                  teams: [{name: fitters, share: 1, upper limit: 6}]
                  keys: [{name: k, team: fitters, digest: %s}]
                  queues: [{name: lookups, pool: parts}]
                """
                        .formatted(target, KeyDigest.ofSecret(SECRET).toHex());
        Site.ToolRun applied = mSite.tool("entry-1", "note", "apply", mSite.note("one", note));
        assertThat(applied.output()).startsWith("accepted revision=1");
    }

    @AfterEach
    void endProcesses() {
        mSite.close();
    }

    private CompletableFuture<HttpResponse<String>> call(int runMs) {
        return mSite.callAsync("entry-1", "POST", "/lookups/x", SECRET, runMs);
    }

    @Nested
    class AStop {
        @Test
        void cutsNoRequestAndRefusesNewOnes() throws IOException, InterruptedException {
            CompletableFuture<HttpResponse<String>> slow = call(4_000);
            CompletableFuture<HttpResponse<String>> quick = call(0);
            assertThat(quick.join().statusCode()).isEqualTo(200);
            CompletableFuture<Integer> exitCode =
                    CompletableFuture.supplyAsync(() -> mSite.stopped("entry-1"));
            mSite.awaitStatus("entry-1", "\"leaving\"");
            HttpResponse<String> late = call(0).join();
            assertThat(late.body()).contains("entry-leaving").contains("not-run");
            assertThat(late.headers().firstValue("Connection")).contains("close");
            assertThat(slow.join().body()).startsWith("host-1 ran /x");
            assertThat(exitCode.join()).isZero();
            assertThat(mSite.call("entry-2", "GET", "/lookups/x", SECRET).statusCode())
                    .isEqualTo(200);
            assertThat(mSite.status("entry-2")).doesNotContain("entry-1");
        }
    }
}
