package org.hibiscususher.standin.process;

import java.io.File;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.cli.CliMain;
import org.hibiscususher.daemon.DaemonMain;
import org.hibiscususher.standin.store.StoreFault;
import org.hibiscususher.standin.store.StoreMain;
import org.hibiscususher.standin.target.TargetMain;

/** Processes of a small site on loopback addresses, ended when the site is closed. */
final class Site implements AutoCloseable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
    private static final long START_TIMEOUT_MS = 30_000;
    private static final long POLL_MS = 50;

    private final Path mFolder;
    private final Map<String, Process> mProcesses = new LinkedHashMap<>();
    private final Map<String, String> mCallers = new LinkedHashMap<>();
    private final Map<String, String> mOperators = new LinkedHashMap<>();
    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String mStore = freeAddress();

    Site(Path folder) throws IOException, InterruptedException {
        mFolder = folder;
        java("store", StoreMain.class, mStore);
        awaitListening(mStore);
    }

    static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    /** Starts a target and returns its address. */
    String target(String host) throws IOException, InterruptedException {
        String address = freeAddress();
        java(host, TargetMain.class, address, host);
        awaitListening(address);
        return address;
    }

    /** Starts a daemon at addresses of its own and waits until it serves. */
    void daemon(String member) throws IOException, InterruptedException {
        String callers = freeAddress();
        String operators = freeAddress();
        Path file = mFolder.resolve(member + ".yaml");
        Files.writeString(
                file,
                String.join(
                        "\n",
                        "member: " + member,
                        "zone: zone-1",
                        "callers: " + callers,
                        "peers: " + freeAddress(),
                        "operators: " + operators,
                        "platform: " + mStore,
                        ""));
        mCallers.put(member, callers);
        mOperators.put(member, operators);
        startAgain(member);
    }

    /** Starts a daemon at the addresses that it had before and waits until it serves. */
    void startAgain(String member) throws IOException, InterruptedException {
        Path file = mFolder.resolve(member + ".yaml");
        String operators = mOperators.get(member);
        java(member, DaemonMain.class, "--config", file.toString());
        awaitListening(operators);
        try {
            awaitStatus(member, "\"serving\"", true);
        } catch (ConnectException e) {
            boolean ended = !mProcesses.get(member).isAlive();
            throw new IOException(member + " ended=" + ended + " printed: " + log(member), e);
        }
    }

    /** Ends a process at once. */
    void kill(String name) {
        mProcesses.get(name).destroyForcibly().onExit().join();
    }

    /** Stops a process until {@link #resume}. */
    void pause(String name) throws IOException, InterruptedException {
        signal("-STOP", name);
    }

    /** Lets a stopped process go on. */
    void resume(String name) throws IOException, InterruptedException {
        signal("-CONT", name);
    }

    private void signal(String signal, String name) throws IOException, InterruptedException {
        String id = Long.toString(mProcesses.get(name).pid());
        new ProcessBuilder("kill", signal, id).start().waitFor();
    }

    /** Sets how the store misbehaves from now on. */
    void storeFault(StoreFault fault) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + mStore + "/fault"))
                        .POST(BodyPublishers.ofString(fault.name()))
                        .build();
        mHttp.send(request, BodyHandlers.discarding());
    }

    /** Returns how many times each named request has run on a target. */
    Map<String, Integer> runs(String address) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + "/stand-in/runs"))
                        .timeout(CALL_TIMEOUT)
                        .build();
        Map<String, Integer> runs = new LinkedHashMap<>();
        for (String line : mHttp.send(request, BodyHandlers.ofString()).body().split("\n")) {
            if (!line.isEmpty()) {
                runs.put(line.split(" ")[0], Integer.valueOf(line.split(" ")[1]));
            }
        }
        return runs;
    }

    /** Returns where callers connect to a daemon. */
    String callers(String member) {
        return mCallers.get(member);
    }

    /** Runs the operators' tool against a daemon and returns its exit code and output. */
    ToolRun tool(String member, String... words) throws IOException, InterruptedException {
        List<String> args = new ArrayList<>(List.of("--daemon", mOperators.get(member)));
        args.addAll(Arrays.asList(words));
        Path log = Files.createTempFile(mFolder, "tool", ".log");
        Process process = start(log, CliMain.class, args.toArray(String[]::new));
        process.waitFor();
        return new ToolRun(process.exitValue(), Files.readString(log));
    }

    /** Writes a release note to a file and returns its path. */
    String note(String name, String text) throws IOException {
        Path file = mFolder.resolve(name + ".yaml");
        Files.writeString(file, text);
        return file.toString();
    }

    /** Sends a request to a daemon; the secret may be empty. */
    HttpResponse<String> call(String member, String method, String path, String secret)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + mCallers.get(member) + path))
                        .timeout(CALL_TIMEOUT)
                        .method(method, BodyPublishers.ofString("body"));
        if (!secret.isEmpty()) {
            request.header("Authorization", "Bearer " + secret);
        }
        return mHttp.send(request.build(), BodyHandlers.ofString());
    }

    /** Sends a request with a body to a daemon and a run time to the target. */
    CompletableFuture<HttpResponse<String>> callAsync(
            String member, String method, String path, String secret, int runMs) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + mCallers.get(member) + path))
                        .timeout(CALL_TIMEOUT)
                        .method(method, BodyPublishers.ofString("body"))
                        .header("Authorization", "Bearer " + secret)
                        .header("Run-Ms", Integer.toString(runMs))
                        .build();
        return mHttp.sendAsync(request, BodyHandlers.ofString());
    }

    /** Waits until a daemon's status contains a text. */
    void awaitStatus(String member, String text) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (!status(member).contains(text)) {
            if (System.nanoTime() > deadline) {
                throw new IOException(member + " does not show " + text);
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** Returns a page of a daemon's operator interface. */
    String page(String member, String path) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + mOperators.get(member) + path))
                        .timeout(CALL_TIMEOUT)
                        .build();
        return mHttp.send(request, BodyHandlers.ofString()).body();
    }

    String status(String member) throws IOException, InterruptedException {
        return page(member, "/status");
    }

    /** Returns what a process has printed. */
    String log(String name) throws IOException {
        return Files.readString(mFolder.resolve(name + ".log"));
    }

    /** Asks a process to stop and returns its exit code. */
    int stop(String name) throws InterruptedException {
        Process process = mProcesses.get(name);
        process.destroy();
        return process.waitFor();
    }

    /** Asks a process to stop and returns its exit code, -1 if the wait was interrupted. */
    int stopped(String name) {
        try {
            return stop(name);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    /** Waits until a daemon's status contains a text, or no longer does. */
    void awaitStatus(String member, String text, boolean present)
            throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (status(member).contains(text) != present) {
            if (System.nanoTime() > deadline) {
                throw new IOException(member + " shows otherwise: " + status(member));
            }
            Thread.sleep(POLL_MS);
        }
    }

    private void java(String name, Class<?> main, String... args) throws IOException {
        mProcesses.put(name, start(mFolder.resolve(name + ".log"), main, args));
    }

    private static Process start(Path log, Class<?> main, String... args) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + File.separator + "bin/java");
        command.addAll(
                List.of(
                        "-Xmx128m",
                        "-XX:TieredStopAtLevel=1",
                        "--add-opens",
                        "java.base/jdk.internal.misc=ALL-UNNAMED",
                        "-cp",
                        System.getProperty("java.class.path"),
                        main.getName()));
        command.addAll(Arrays.asList(args));
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
    }

    private static void awaitListening(String address) throws IOException, InterruptedException {
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (true) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port));
                return;
            } catch (IOException e) {
                if (System.nanoTime() > deadline) {
                    throw e;
                }
                Thread.sleep(POLL_MS);
            }
        }
    }

    @Override
    public void close() {
        mProcesses.values().forEach(Process::destroyForcibly);
        mProcesses.values().forEach(p -> p.onExit().join());
    }

    /** One run of the operators' tool. */
    record ToolRun(int exitCode, String output) {}
}
