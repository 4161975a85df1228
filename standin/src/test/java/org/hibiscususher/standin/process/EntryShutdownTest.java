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

/**
 * Graceful shutdown of an entry's process: a restart for an update must fail no open request, and
 * callers must learn that they can resend new requests to another entry.
 */
class EntryShutdownTest {
    private static final String SECRET = "the-fitters-secret";

    private ProcessSite mSite;

    @BeforeEach
    void startProcesses(@TempDir Path folder) throws IOException, InterruptedException {
        mSite = new ProcessSite(folder);
        String target = mSite.startTarget("host-1");
        mSite.startDaemon("entry-1");
        mSite.startDaemon("entry-2");
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
        ProcessSite.CliResult applied =
                mSite.runCli("entry-1", "note", "apply", mSite.writeNote("one", note));
        assertThat(applied.output()).startsWith("accepted revision=1");
    }

    @AfterEach
    void stopProcesses() {
        mSite.close();
    }

    private CompletableFuture<HttpResponse<String>> sendToLeavingEntry(int runMs) {
        return mSite.callAsync("entry-1", "POST", "/lookups/x", SECRET, runMs);
    }

    @Nested
    class PlannedStop {
        @Test
        void completesOpenRequestsAndRefusesNewOnes() throws IOException, InterruptedException {
            CompletableFuture<HttpResponse<String>> slow = sendToLeavingEntry(4_000);
            CompletableFuture<HttpResponse<String>> quick = sendToLeavingEntry(0);
            assertThat(quick.join().statusCode()).isEqualTo(200);
            CompletableFuture<Integer> exitCode =
                    CompletableFuture.supplyAsync(() -> mSite.stopUnchecked("entry-1"));
            mSite.awaitStatus("entry-1", "\"leaving\"");
            HttpResponse<String> refused = sendToLeavingEntry(0).join();
            assertThat(refused.body()).contains("entry-leaving").contains("not-run");
            assertThat(refused.headers().firstValue("Connection")).contains("close");
            assertThat(slow.join().body()).startsWith("host-1 ran /x");
            assertThat(exitCode.join()).isZero();
            assertThat(mSite.call("entry-2", "GET", "/lookups/x", SECRET).statusCode())
                    .isEqualTo(200);
            assertThat(mSite.status("entry-2")).doesNotContain("entry-1");
        }
    }
}
