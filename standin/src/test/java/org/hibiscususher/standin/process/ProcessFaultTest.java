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
 * Faults of real processes under load: entries restarted, killed and suspended, a store outage, and
 * concurrent operators. Callers must lose no request to a planned restart, and no request may run
 * twice.
 */
class ProcessFaultTest {
    private static final List<String> ENTRIES = List.of("entry-1", "entry-2", "entry-3");
    private static final String SECRET = "the-fitters-secret";
    private static final int CALLERS = 6;
    private static final long FAULT_DURATION_MS = 6_000;
    private static final long LOAD_MS = 1_000;

    private ProcessSite mSite;
    private String mFirstTarget;
    private String mSecondTarget;

    @BeforeEach
    void startProcesses(@TempDir Path folder) throws IOException, InterruptedException {
        mSite = new ProcessSite(folder);
        mFirstTarget = mSite.startTarget("host-1");
        mSecondTarget = mSite.startTarget("host-2");
        for (String entry : ENTRIES) {
            mSite.startDaemon(entry);
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
                        .formatted(mFirstTarget, mSecondTarget, KeyDigest.ofSecret(SECRET).toHex());
        assertThat(apply("entry-1", "opening", note).output()).startsWith("accepted");
    }

    @AfterEach
    void stopProcesses() {
        mSite.close();
    }

    private ProcessSite.CliResult apply(String entry, String name, String note)
            throws IOException, InterruptedException {
        return mSite.runCli(entry, "note", "apply", mSite.writeNote(name, note));
    }

    /** Returns how many times each request ran, summed over the targets. */
    private Map<String, Integer> runCounts() throws IOException, InterruptedException {
        Map<String, Integer> runs = new HashMap<>(mSite.runCounts(mFirstTarget));
        mSite.runCounts(mSecondTarget).forEach((name, n) -> runs.merge(name, n, Integer::sum));
        return runs;
    }

    @Nested
    class Restart {
        @Test
        void ofEveryEntryAnswersEachRequestAndRunsItOnce()
                throws IOException, InterruptedException {
            Map<String, String> outcomes;
            try (LoadGenerator load = new LoadGenerator(mSite, ENTRIES, SECRET, CALLERS)) {
                for (String entry : ENTRIES) {
                    Thread.sleep(LOAD_MS);
                    assertThat(mSite.stop(entry)).isIn(0, 143);
                    mSite.restartDaemon(entry);
                }
                Thread.sleep(LOAD_MS);
                outcomes = load.outcomes();
            }
            assertThat(outcomes).hasSizeGreaterThan(CALLERS);
            assertThat(outcomes.values()).containsOnly("answered");
            assertThat(runCounts()).containsOnlyKeys(outcomes.keySet());
            assertThat(runCounts().values()).containsOnly(1);
        }
    }

    @Nested
    class Kill {
        @Test
        void ofAnEntryRunsNoRequestTwiceAndOthersContinue()
                throws IOException, InterruptedException {
            Map<String, String> outcomes;
            try (LoadGenerator load = new LoadGenerator(mSite, ENTRIES, SECRET, CALLERS)) {
                Thread.sleep(LOAD_MS);
                mSite.kill("entry-2");
                Thread.sleep(FAULT_DURATION_MS);
                outcomes = load.outcomes();
            }
            assertThat(outcomes.values())
                    .allMatch(o -> o.equals("answered") || o.startsWith("broken by entry-2"));
            assertThat(runCounts().values()).containsOnly(1);
            assertThat(mSite.call("entry-1", "GET", "/lookups/x", SECRET).statusCode())
                    .isEqualTo(200);
        }
    }

    @Nested
    class Suspension {
        @Test
        void doesNotMakeAnEntryAcceptAWithdrawnKey() throws IOException, InterruptedException {
            mSite.pause("entry-2");
            ProcessSite.CliResult withdrawn =
                    apply(
                            "entry-1",
                            "withdrawal",
                            "note: gone\nauthor: anna\nwithdrawn:\n  keys: [key]\n");
            Thread.sleep(FAULT_DURATION_MS);
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
        void rejectsNotesButRequestsContinue() throws IOException, InterruptedException {
            String note =
                    "note: more\nauthor: anna\nchanged:\n"
                            + "  teams: [{name: fitters, share: 2, upper limit: 14}]\n";
            Map<String, String> outcomes;
            try (LoadGenerator load = new LoadGenerator(mSite, ENTRIES, SECRET, CALLERS)) {
                mSite.setStoreFault(StoreFault.DOWN);
                assertThat(apply("entry-1", "more", note).exitCode()).isEqualTo(1);
                mSite.setStoreFault(StoreFault.NONE);
                outcomes = load.outcomes();
            }
            assertThat(outcomes.values()).containsOnly("answered");
            assertThat(apply("entry-1", "more", note).exitCode()).isZero();
        }
    }

    @Nested
    class RacingOperators {
        @Test
        void getOneAcceptanceAndOneConflict() throws IOException, InterruptedException {
            CompletableFuture<ProcessSite.CliResult> one = race("entry-1", "one", 5);
            CompletableFuture<ProcessSite.CliResult> two = race("entry-2", "two", 6);
            assertThat(List.of(one.join().exitCode(), two.join().exitCode()))
                    .containsExactlyInAnyOrder(0, 4);
        }

        private CompletableFuture<ProcessSite.CliResult> race(
                String entry, String name, int limit) {
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
