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

/** One path from end to end through three daemons, two targets and the store as processes. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class WholePathTest {
    private static final List<String> ENTRIES = List.of("entry-1", "entry-2", "entry-3");
    private static final String SECRET = "the-fitters-secret";

    private Site mSite;

    @BeforeAll
    void startProcesses(@TempDir Path folder) throws IOException, InterruptedException {
        mSite = new Site(folder);
        String first = mSite.target("host-1");
        String second = mSite.target("host-2");
        for (String entry : ENTRIES) {
            mSite.daemon(entry);
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
        Site.ToolRun applied = mSite.tool("entry-1", "note", "apply", mSite.note("one", note));
        assertThat(applied.output()).startsWith("accepted revision=1");
        assertThat(applied.exitCode()).isZero();
    }

    @AfterAll
    void endProcesses() {
        mSite.close();
    }

    @Nested
    class Requests {
        @Test
        void areAnsweredWholeByEveryEntry() throws IOException, InterruptedException {
            for (String entry : ENTRIES) {
                HttpResponse<String> answer =
                        mSite.call(entry, "POST", "/lookups/seals/42?a=b", SECRET);
                assertThat(answer.statusCode()).isEqualTo(200);
                assertThat(answer.body()).matches("host-[12] ran /seals/42\\?a=b body");
            }
        }
    }

    @Nested
    class Refusals {
        @Test
        void nameTheirReasonAndSayThatNothingRan() throws IOException, InterruptedException {
            assertRefused("/lookups/x", "", 401, "key-missing");
            assertRefused("/lookups/x", "wrong", 403, "key-unknown");
            assertRefused("/elsewhere/x", SECRET, 404, "queue-unknown");
            assertRefused("/lookups/x", "closed", 429, "team-at-limit");
            assertRefused("/empty/x", SECRET, 503, "pool-empty");
        }

        @Test
        void includeAWithdrawnKeyOnEveryEntry() throws IOException, InterruptedException {
            String note =
                    """
                    note: spare-key-withdrawn
                    author: berta
                    withdrawn:
                      keys: [spare-key]
                    """;
            assertThat(mSite.call("entry-3", "GET", "/lookups/x", "spare").statusCode())
                    .isEqualTo(200);
            mSite.tool("entry-2", "note", "apply", mSite.note("two", note));
            for (String entry : ENTRIES) {
                HttpResponse<String> answer = mSite.call(entry, "GET", "/lookups/x", "spare");
                assertThat(answer.statusCode()).isEqualTo(403);
            }
        }

        private void assertRefused(String path, String secret, int status, String reason)
                throws IOException, InterruptedException {
            HttpResponse<String> answer = mSite.call("entry-2", "GET", path, secret);
            assertThat(answer.statusCode()).isEqualTo(status);
            assertThat(answer.body())
                    .isEqualTo("{\"reason\":\"" + reason + "\",\"ran\":\"not-run\"}\n");
            assertThat(mSite.page("entry-2", "/metrics"))
                    .containsPattern(
                            "hibiscususher_refusal_" + reason.replace('-', '_') + " [1-9]");
        }
    }

    @Nested
    class Operators {
        @Test
        void getFindingsWithPlaces() throws IOException, InterruptedException {
            String file = mSite.note("bad", "note: bad\nauthor: carl\nadded:\n  hats: []\n");
            Site.ToolRun run = mSite.tool("entry-1", "note", "check", file);
            assertThat(run.output()).contains(file + ":4:3: unknown key \"hats\"");
            assertThat(run.exitCode()).isEqualTo(3);
        }

        @Test
        void seeWhoChangedWhat() throws IOException, InterruptedException {
            Site.ToolRun list = mSite.tool("entry-3", "note", "history");
            assertThat(list.output()).contains("opening", "anna", "pools +2, hosts +2");
            Site.ToolRun one = mSite.tool("entry-3", "note", "show", "opening");
            assertThat(one.output()).contains("revision: 1", "teams added or changed:");
            Site.ToolRun none = mSite.tool("entry-3", "note", "show", "nothing");
            assertThat(none.output()).contains("no accepted note has the revision or id nothing");
            assertThat(none.exitCode()).isEqualTo(1);
        }

        @Test
        void printTheStateInForceAndCheckAgainstIt() throws IOException, InterruptedException {
            String exported = mSite.tool("entry-2", "export").output();
            assertThat(exported).contains("- {name: lookups, pool: parts, kind: quick");
            String file = mSite.note("exported", exported);
            Site.ToolRun check = mSite.tool("entry-2", "note", "check", file);
            assertThat(check.output()).contains("host host-1 exists; list it under \"changed\"");
            assertThat(check.exitCode()).isEqualTo(3);
        }

        @Test
        void seeTheOtherEntries() throws IOException, InterruptedException {
            Site.ToolRun run = mSite.tool("entry-1", "status");
            assertThat(run.output()).contains("entry-1: serving", "entry-2", "entry-3");
        }
    }

    @Nested
    class Secrets {
        @Test
        void neverShow() throws IOException, InterruptedException {
            mSite.call("entry-1", "GET", "/lookups/x", SECRET);
            for (String entry : ENTRIES) {
                assertThat(mSite.log(entry)).doesNotContain(SECRET);
                assertThat(mSite.page(entry, "/metrics")).doesNotContain(SECRET);
                assertThat(mSite.status(entry)).doesNotContain(SECRET);
            }
        }
    }
}
