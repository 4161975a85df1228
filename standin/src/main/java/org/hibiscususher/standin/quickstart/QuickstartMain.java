package org.hibiscususher.standin.quickstart;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.daemon.Daemon;
import org.hibiscususher.daemon.settings.DaemonSettings;
import org.hibiscususher.standin.HttpServer;
import org.hibiscususher.standin.store.StoreMain;
import org.hibiscususher.standin.target.TargetMain;
import org.hibiscususher.wire.http.HttpReply;
import org.hibiscususher.wire.http.OneShotHttpClient;

/**
 * Shows the path of one request: starts a fake store, two targets and a daemon in one process,
 * applies a release note, and prints the responses to a request and to one that is refused.
 */
public final class QuickstartMain {
    private static final int TIMEOUT_MS = 20_000;
    private static final String ANY_PORT = "127.0.0.1:0";

    private QuickstartMain() {}

    /** Runs the demonstration; takes no arguments. */
    public static void main(String[] args)
            throws IOException, InterruptedException, ExecutionException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (HttpServer store = StoreMain.listen(ANY_PORT);
                HttpServer first = TargetMain.listen(ANY_PORT, "host-1");
                HttpServer second = TargetMain.listen(ANY_PORT, "host-2")) {
            DaemonSettings settings =
                    new DaemonSettings(
                            "entry-1",
                            "zone-1",
                            freeAddress(),
                            freeAddress(),
                            freeAddress(),
                            store.address(),
                            ControlSettings.DEFAULT);
            Daemon daemon = Daemon.start(settings);
            OneShotHttpClient client = OneShotHttpClient.create(group, TIMEOUT_MS);
            String note = note(first.address(), second.address());
            System.out.println(note);
            sendAndPrint(
                    "release note", client, settings.operators(), HttpMethod.POST, "/notes", note);
            sendAndPrint(
                    "request", client, settings.callers(), HttpMethod.GET, "/lookups/seals/42", "");
            sendAndPrint("refusal", client, settings.callers(), HttpMethod.GET, "/elsewhere/1", "");
            daemon.shutDown();
            System.out.println("stopped");
        } finally {
            group.shutdownGracefully(0, TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static void sendAndPrint(
            String title,
            OneShotHttpClient client,
            String address,
            HttpMethod method,
            String path,
            String body)
            throws InterruptedException, ExecutionException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        HttpReply reply = client.send(address, method, path, bytes).get();
        System.out.println(
                title
                        + " -> "
                        + reply.status()
                        + " "
                        + new String(reply.body(), StandardCharsets.UTF_8).strip());
    }

    private static String note(String first, String second) {
        return """
                note: first-note
                author: quickstart
                summary: one pool of two hosts, one queue open to all
                added:
                  pools:
                    - name: parts
                  hosts:
                    - {name: host-1, address: "%s", zone: zone-1, pool: parts}
                    - {name: host-2, address: "%s", zone: zone-1, pool: parts}
                  teams:
                    - {name: visitors, share: 1, upper limit: 4}
                  queues:
                    - {name: lookups, pool: parts, open to all as team: visitors}
                """
                .formatted(first, second);
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }
}
