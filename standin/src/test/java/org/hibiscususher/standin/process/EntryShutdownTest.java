package org.hibiscususher.standin.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.core.config.KeyDigest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Graceful shutdown of an entry's process: a restart for an update must fail no open request, and
 * callers must learn that they can resend new requests to another entry.
 */
class EntryShutdownTest {
    private static final String SECRET = "the-fitters-secret";
    private static final int TIMEOUT_MS = 30_000;
    private static final int RUN_MS = 2_000;
    private static final long SHORT_WAIT_MS = 200;

    /** Longer than an entry without requests takes to leave, shorter than it waits for callers. */
    private static final long HALF_STOP_MS = 1_000;

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

        @Test
        void refusesRequestThatIsReadInPartWhenTheEntryHasLeft()
                throws IOException, InterruptedException {
            try (Socket caller = connectTo("entry-1")) {
                send(caller, "GET /lookups/x HTTP/1.1\r\nHost: x\r\n");
                Thread.sleep(SHORT_WAIT_MS);
                CompletableFuture<Integer> exitCode =
                        CompletableFuture.supplyAsync(() -> mSite.stopUnchecked("entry-1"));
                Thread.sleep(HALF_STOP_MS);
                send(caller, "Authorization: Bearer " + SECRET + "\r\n\r\n");
                assertThat(readToClose(caller)).contains("entry-leaving").contains("not-run");
                assertThat(exitCode.join()).isZero();
            }
        }
    }

    @Nested
    class OperatorsDuringStop {
        @Test
        void getAnswerForCommandThatWaitsForTheStore() throws IOException, InterruptedException {
            try (Socket operator = connect(mSite.operatorAddress("entry-1"))) {
                send(operator, "POST /wave HTTP/1.1\r\nContent-Length: 4\r\n\r\nplan");
                mSite.stop("entry-1");
                assertThat(readToClose(operator)).startsWith("HTTP/1.1 ");
            }
        }
    }

    @Nested
    class StopDuringStart {
        @Test
        void answersRequestThatWasReadBefore() throws IOException, InterruptedException {
            assertThat(mSite.stop("entry-1")).isZero();
            mSite.launchDaemon("entry-1");
            try (Socket caller = connectTo("entry-1")) {
                send(caller, "GET /lookups/x HTTP/1.1\r\nHost: x\r\n\r\n");
                int exitCode = mSite.stop("entry-1");
                assertThat(readToClose(caller)).startsWith("HTTP/1.1 ");
                assertThat(exitCode).isZero();
            }
        }
    }

    @Nested
    class Signals {
        @ParameterizedTest
        @ValueSource(strings = {"-HUP", "-INT", "-TERM"})
        void leaveOpenRequestsToComplete(String signal) throws IOException, InterruptedException {
            CompletableFuture<HttpResponse<String>> slow = sendToLeavingEntry(RUN_MS);
            Thread.sleep(HALF_STOP_MS);
            mSite.signal(signal, "entry-1");
            Thread.sleep(SHORT_WAIT_MS);
            mSite.signal(signal, "entry-1");
            mSite.signal("-TERM", "entry-1");
            assertThat(slow.join().body()).startsWith("host-1 ran /x");
            assertThat(mSite.awaitExit("entry-1")).isZero();
        }
    }

    /** Connects to an entry's address for callers, as soon as it listens. */
    private Socket connectTo(String entry) throws IOException {
        return connect(mSite.callerAddress(entry));
    }

    private static Socket connect(String address) throws IOException {
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (true) {
            try {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(TIMEOUT_MS);
                return socket;
            } catch (ConnectException e) {
                if (System.nanoTime() > deadline) {
                    throw e;
                }
            }
        }
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readToClose(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
}
