package org.hibiscususher.standin.load;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.daemon.DaemonMain;
import org.hibiscususher.standin.HttpServer;
import org.hibiscususher.standin.store.StoreMain;
import org.hibiscususher.standin.target.TargetMain;
import org.hibiscususher.wire.http.HttpReply;
import org.hibiscususher.wire.http.OneShotHttpClient;

/**
 * A fake store and a target in this process and one daemon in a process of its own, all on loopback
 * addresses.
 *
 * <p>The daemon has its own process so that its processor time can be told apart from that of the
 * load generator.
 */
final class LoadSite implements AutoCloseable {
    /** API key of the callers. */
    static final String SECRET = "load";

    private static final int TIMEOUT_MS = 30_000;
    private static final int POLL_INTERVAL_MS = 100;

    /** Status of a request without an API key, which shows that the queue is in force. */
    private static final int STATUS_KEY_MISSING = 401;

    private final HttpServer mStore;
    private final HttpServer mTarget;
    private final Process mDaemon;
    private final String mCallerAddress = freeAddress();
    private final String mOperatorAddress = freeAddress();
    private final Path mSettingsFile;

    private LoadSite() throws IOException {
        mStore = StoreMain.listen("127.0.0.1:0");
        mTarget = TargetMain.listen("127.0.0.1:0", "host-1");
        mSettingsFile = Files.createTempFile("load", ".yaml");
        Files.writeString(
                mSettingsFile,
                String.join(
                        "\n",
                        "member: entry-1",
                        "zone: zone-1",
                        "callers: " + mCallerAddress,
                        "peers: " + freeAddress(),
                        "operators: " + mOperatorAddress,
                        "platform: " + mStore.address(),
                        ""));
        mDaemon =
                new ProcessBuilder(
                                System.getProperty("java.home") + File.separator + "bin/java",
                                "-Xmx256m",
                                "--add-opens",
                                "java.base/jdk.internal.misc=ALL-UNNAMED",
                                "-cp",
                                System.getProperty("java.class.path"),
                                DaemonMain.class.getName(),
                                "--config",
                                mSettingsFile.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
    }

    /**
     * Starts the processes and waits until the daemon serves a queue {@code load}.
     *
     * @throws IOException if the daemon doesn't serve the queue within 30 seconds
     */
    static LoadSite start(EventLoopGroup group)
            throws IOException, InterruptedException, ExecutionException {
        LoadSite site = new LoadSite();
        OneShotHttpClient client = OneShotHttpClient.create(group, TIMEOUT_MS);
        String note =
                """
                note: load
                author: load
                added:
                  pools: [{name: pool}]
                  hosts: [{name: host-1, address: "%s", zone: z1, pool: pool, slots: 512}]
                  teams: [{name: team, share: 1, upper limit: 1024}]
                  keys: [{name: key, team: team, digest: %s}]
                  queues: [{name: load, pool: pool, waiting at most: 10000}]
                """
                        .formatted(site.target(), KeyDigest.ofSecret(SECRET).toHex());
        long deadline = System.nanoTime() + Duration.ofMillis(TIMEOUT_MS).toNanos();
        boolean ready = false;
        while (!ready && System.nanoTime() < deadline) {
            ready = site.isReady(client, note);
            Thread.sleep(POLL_INTERVAL_MS);
        }
        if (!ready) {
            site.close();
            throw new IOException(
                    "the daemon did not serve the queue within " + TIMEOUT_MS + " ms");
        }
        return site;
    }

    /**
     * Submits the release note and returns whether its queue is in force. Called until it is, as
     * the daemon doesn't listen yet at first.
     */
    private boolean isReady(OneShotHttpClient client, String note) throws InterruptedException {
        try {
            byte[] bytes = note.getBytes(StandardCharsets.UTF_8);
            client.send(mOperatorAddress, HttpMethod.POST, "/notes", bytes).get();
            HttpReply reply =
                    client.send(mCallerAddress, HttpMethod.GET, "/load/x", new byte[0]).get();
            return reply.status() == STATUS_KEY_MISSING;
        } catch (ExecutionException e) {
            return false;
        }
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    /** Returns the address at which the daemon accepts requests of callers. */
    String entry() {
        return mCallerAddress;
    }

    /** Returns the address of the target. */
    String target() {
        return mTarget.address();
    }

    /** Returns the processor time that the daemon has used, in milliseconds; 0 if not known. */
    long daemonCpuMs() {
        return mDaemon.toHandle().info().totalCpuDuration().orElse(Duration.ZERO).toMillis();
    }

    @Override
    public void close() throws IOException {
        mDaemon.destroyForcibly();
        mStore.close();
        mTarget.close();
        Files.deleteIfExists(mSettingsFile);
    }
}
