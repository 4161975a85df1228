package org.hibiscususher.standin.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.standin.store.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Faults of real processes: replaced, killed, stopped; the store out of order; racing operators.
 */
class ProcessFaultTest {
    private static final List<String> ENTRIES = List.of("entry-1", "entry-2", "entry-3");
    private static final String SECRET = "the-fitters-secret";
    private static final int CALLERS = 6;
    private static final long PAUSE_MS = 6_000;
    private static final long MEANWHILE_MS = 1_000;

    private Site mSite;
    private String mFirst;
    private String mSecond;

    @BeforeEach
    void startProcesses(@TempDir Path folder) throws IOException, InterruptedException {
        mSite = new Site(folder);
        mFirst = mSite.target("host-1");
        mSecond = mSite.target("host-2");
        for (String entry : ENTRIES) {
            mSite.daemon(entry);
        }
        String note =
                """
                note: opening
                author: anna
                added:
                  pools: [{name: parts}]
                  hosts:
                    - {name: host-1, address: "%s", zone: z1, pool: parts}
                    - {name: host-2, address: "%s", zone: z2, pool: parts}
                  teams: [{name: fitters, share: 2, upper limit: 12}]
                  keys: [{name: key, team: fitters, digest: %s}]
                  queues: [{name: lookups, pool: parts}]
                """
                        .formatted(mFirst, mSecond, KeyDigest.ofSecret(SECRET).toHex());
        assertThat(apply("entry-1", "opening", note).output()).startsWith("accepted");
    }

    @AfterEach
    void endProcesses() {
        mSite.close();
    }

    private Site.ToolRun apply(String entry, String name, String note)
            throws IOException, InterruptedException {
        return mSite.tool(entry, "note", "apply", mSite.note(name, note));
    }

    private Map<String, Integer> runs() throws IOException, InterruptedException {
        Map<String, Integer> runs = new HashMap<>(mSite.runs(mFirst));
        mSite.runs(mSecond).forEach((name, n) -> runs.merge(name, n, Integer::sum));
        return runs;
    }

    @Nested
    class Replacement {
        @Test
        void ofEveryEntryLosesAndDoublesNothing() throws IOException, InterruptedException {
            Map<String, String> outcomes;
            try (LoadCaller caller = new LoadCaller(mSite, ENTRIES, SECRET, CALLERS)) {
                for (String entry : ENTRIES) {
                    Thread.sleep(MEANWHILE_MS);
                    assertThat(mSite.stop(entry)).isIn(0, 143);
                    mSite.startAgain(entry);
                }
                Thread.sleep(MEANWHILE_MS);
                outcomes = caller.outcomes();
            }
            assertThat(outcomes).hasSizeGreaterThan(CALLERS);
            assertThat(outcomes.values()).containsOnly("answered");
            assertThat(runs()).containsOnlyKeys(outcomes.keySet());
            assertThat(runs().values()).containsOnly(1);
        }
    }

    @Nested
    class Kill {
        @Test
        void ofAnEntryDoublesNothingAndLeavesTheOthersAtWork()
                throws IOException, InterruptedException {
            Map<String, String> outcomes;
            try (LoadCaller caller = new LoadCaller(mSite, ENTRIES, SECRET, CALLERS)) {
                Thread.sleep(MEANWHILE_MS);
                mSite.kill("entry-2");
                Thread.sleep(PAUSE_MS);
                outcomes = caller.outcomes();
            }
            assertThat(outcomes.values())
                    .allMatch(o -> o.equals("answered") || o.startsWith("broken by entry-2"));
            assertThat(runs().values()).containsOnly(1);
            assertThat(mSite.call("entry-1", "GET", "/lookups/x", SECRET).statusCode())
                    .isEqualTo(200);
        }
    }

    @Nested
    class Pause {
        @Test
        void letsNoWithdrawnKeyThrough() throws IOException, InterruptedException {
            mSite.pause("entry-2");
            Site.ToolRun withdrawn =
                    apply(
                            "entry-1",
                            "withdrawal",
                            "note: gone\nauthor: anna\nwithdrawn:\n  keys: [key]\n");
            Thread.sleep(PAUSE_MS);
            mSite.resume("entry-2");
            assertThat(mSite.call("entry-2", "GET", "/lookups/x", SECRET).statusCode())
                    .isIn(403, 503);
            assertThat(withdrawn.output()).containsAnyOf("accepted", "written");
            assertThat(mSite.call("entry-1", "GET", "/lookups/x", SECRET).statusCode())
                    .isEqualTo(403);
        }
    }

    @Nested
    class StoreOutage {
        @Test
        void stopsNotesAndNoRequests() throws IOException, InterruptedException {
            String note =
                    "note: more\nauthor: anna\nchanged:\n"
                            + "  teams: [{name: fitters, share: 2, upper limit: 14}]\n";
            Map<String, String> outcomes;
            try (LoadCaller caller = new LoadCaller(mSite, ENTRIES, SECRET, CALLERS)) {
                mSite.storeFault(StoreFault.DOWN);
                assertThat(apply("entry-1", "more", note).exitCode()).isEqualTo(1);
                mSite.storeFault(StoreFault.NONE);
                outcomes = caller.outcomes();
            }
            assertThat(outcomes.values()).containsOnly("answered");
            assertThat(apply("entry-1", "more", note).exitCode()).isZero();
        }
    }

    @Nested
    class RacingOperators {
        @Test
        void seeOneNoteAcceptedAndOneConflict() throws IOException, InterruptedException {
            CompletableFuture<Site.ToolRun> one = race("entry-1", "one", 5);
            CompletableFuture<Site.ToolRun> two = race("entry-2", "two", 6);
            assertThat(List.of(one.join().exitCode(), two.join().exitCode()))
                    .containsExactlyInAnyOrder(0, 4);
        }

        private CompletableFuture<Site.ToolRun> race(String entry, String name, int limit) {
            String note =
                    "note: "
                            + name
                            + "\nauthor: "
                            + name
                            + "\nbase: 1\nchanged:\n"
                            + "  teams: [{name: fitters, share: 2, upper limit: "
                            + limit
                            + "}]\n";
            return CompletableFuture.supplyAsync(
                    () -> {
                        try {
                            return apply(entry, name, note);
                        } catch (IOException | InterruptedException e) {
                            throw new IllegalStateException(e);
                        }
                    });
        }
    }
}
