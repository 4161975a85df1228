package org.hibiscususher.standin.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import org.hibiscususher.core.config.KeyDigest;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

/**
 * Requests and operator commands end to end through three daemons, two targets and the store, each
 * a process of its own. The processes are shared by all tests, which therefore depend on no order.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EndToEndTest {
    private static final List<String> ENTRIES = List.of("entry-1", "entry-2", "entry-3");
    private static final String SECRET = "the-fitters-secret";

    private ProcessSite mSite;

    @BeforeAll
    void startProcesses(@TempDir Path folder) throws IOException, InterruptedException {
        mSite = new ProcessSite(folder);
        String first = mSite.startTarget("host-1");
        String second = mSite.startTarget("host-2");
        for (String entry : ENTRIES) {
            mSite.startDaemon(entry);
        }
        String note =
                """
                note: opening
                author: anna
                added:
                  pools:
                    - name: parts
                    - name: bare
                  hosts:
                    - {name: host-1, address: "%s", zone: z1, pool: parts, slots: 8}
                    - {name: host-2, address: "%s", zone: z1, pool: parts, slots: 8}
                  teams:
                    - {name: fitters, share: 2, upper limit: 6}
                    - {name: closed, share: 1, upper limit: 0}
                  keys:
                    - {name: fitters-key, team: fitters, digest: %s}
                    - {name: spare-key, team: fitters, digest: %s}
                    - {name: closed-key, team: closed, digest: %s}
                  queues:
                    - {name: lookups, pool: parts}
                    - {name: empty, pool: bare}
                """
                        .formatted(
                                first,
                                second,
                                KeyDigest.ofSecret(SECRET).toHex(),
                                KeyDigest.ofSecret("spare").toHex(),
                                KeyDigest.ofSecret("closed").toHex());
        ProcessSite.CliResult applied =
                mSite.runCli("entry-1", "note", "apply", mSite.writeNote("one", note));
        assertThat(applied.output()).startsWith("accepted revision=1");
        assertThat(applied.exitCode()).isZero();
    }

    @AfterAll
    void stopProcesses() {
        mSite.close();
    }

    @Nested
    class Requests {
        @Test
        void getACompleteResponseFromEveryEntry() throws IOException, InterruptedException {
            for (String entry : ENTRIES) {
                HttpResponse<String> response =
                        mSite.call(entry, "POST", "/lookups/seals/42?a=b", SECRET);
                assertThat(response.statusCode()).isEqualTo(200);
                assertThat(response.body()).matches("host-[12] ran /seals/42\\?a=b body");
            }
        }
    }

    @Nested
    class Refusals {
        @Test
        void reportTheirReasonAndThatNothingRan() throws IOException, InterruptedException {
            assertRefused("/lookups/x", "", 401, "key-missing");
            assertRefused("/lookups/x", "wrong", 403, "key-unknown");
            assertRefused("/elsewhere/x", SECRET, 404, "queue-unknown");
            assertRefused("/lookups/x", "closed", 429, "team-at-limit");
            assertRefused("/empty/x", SECRET, 503, "pool-empty");
        }

        @Test
        void applyToAWithdrawnKeyOnEveryEntry() throws IOException, InterruptedException {
            String note =
                    """
                    note: spare-key-withdrawn
                    author: berta
                    withdrawn:
                      keys: [spare-key]
                    """;
            assertThat(mSite.call("entry-3", "GET", "/lookups/x", "spare").statusCode())
                    .isEqualTo(200);
            mSite.runCli("entry-2", "note", "apply", mSite.writeNote("two", note));
            for (String entry : ENTRIES) {
                HttpResponse<String> response = mSite.call(entry, "GET", "/lookups/x", "spare");
                assertThat(response.statusCode()).isEqualTo(403);
            }
        }

        private void assertRefused(String path, String secret, int status, String reason)
                throws IOException, InterruptedException {
            HttpResponse<String> response = mSite.call("entry-2", "GET", path, secret);
            assertThat(response.statusCode()).isEqualTo(status);
            assertThat(response.body())
                    .isEqualTo("{\"reason\":\"" + reason + "\",\"ran\":\"not-run\"}\n");
            assertThat(mSite.page("entry-2", "/metrics"))
                    .containsPattern(
                            "hibiscususher_refusal_" + reason.replace('-', '_') + " [1-9]");
        }
    }

    @Nested
    class Operators {
        @Test
        void getFindingsWithLineAndColumn() throws IOException, InterruptedException {
            String file = mSite.writeNote("bad", "note: bad\nauthor: carl\nadded:\n  hats: []\n");
            ProcessSite.CliResult run = mSite.runCli("entry-1", "note", "check", file);
            assertThat(run.output()).contains(file + ":4:3: unknown key \"hats\"");
            assertThat(run.exitCode()).isEqualTo(3);
        }

        @Test
        void canReadTheHistoryOfNotes() throws IOException, InterruptedException {
            ProcessSite.CliResult list = mSite.runCli("entry-3", "note", "history");
            assertThat(list.output()).contains("opening", "anna", "pools +2, hosts +2");
            ProcessSite.CliResult one = mSite.runCli("entry-3", "note", "show", "opening");
            assertThat(one.output()).contains("revision: 1", "teams added or changed:");
            ProcessSite.CliResult none = mSite.runCli("entry-3", "note", "show", "nothing");
            assertThat(none.output()).contains("no accepted note has the revision or id nothing");
            assertThat(none.exitCode()).isEqualTo(1);
        }

        @Test
        void canExportTheConfigurationAndCheckANoteAgainstIt()
                throws IOException, InterruptedException {
            String exported = mSite.runCli("entry-2", "export").output();
            assertThat(exported).contains("- {name: lookups, pool: parts, kind: quick");
            String file = mSite.writeNote("exported", exported);
            ProcessSite.CliResult check = mSite.runCli("entry-2", "note", "check", file);
            assertThat(check.output()).contains("host host-1 exists; list it under \"changed\"");
            assertThat(check.exitCode()).isEqualTo(3);
        }

        @Test
        void seeAllEntriesInTheStatus() throws IOException, InterruptedException {
            ProcessSite.CliResult run = mSite.runCli("entry-1", "status");
            assertThat(run.output()).contains("entry-1: serving", "entry-2", "entry-3");
        }
    }

    @Nested
    class Secrets {
        @Test
        void appearInNoLogMetricOrStatus() throws IOException, InterruptedException {
            mSite.call("entry-1", "GET", "/lookups/x", SECRET);
            for (String entry : ENTRIES) {
                assertThat(mSite.log(entry)).doesNotContain(SECRET);
                assertThat(mSite.page(entry, "/metrics")).doesNotContain(SECRET);
                assertThat(mSite.status(entry)).doesNotContain(SECRET);
            }
        }
    }
}
