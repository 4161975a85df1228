package org.hibiscususher.standin.process;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
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

/**
 * A site of real processes on loopback addresses: the stand-in store, targets and daemons. Closing
 * the site kills them. Each process writes its output to a file in the folder of the site.
 */
final class ProcessSite implements AutoCloseable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
    private static final long START_TIMEOUT_MS = 30_000;
    private static final long POLL_MS = 50;

    private final Path mFolder;
    private final Map<String, Process> mProcesses = new LinkedHashMap<>();
    private final Map<String, String> mCallerAddresses = new LinkedHashMap<>();
    private final Map<String, String> mOperatorAddresses = new LinkedHashMap<>();
    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String mStoreAddress = freeAddress();

    ProcessSite(Path folder) throws IOException, InterruptedException {
        mFolder = folder;
        startJava("store", StoreMain.class, mStoreAddress);
        awaitListening(mStoreAddress);
    }

    /** Returns a loopback address with a free port, which no other run on this machine draws. */
    static String freeAddress() throws IOException {
        return "127.0.0.1:" + Ports.RANGE.draw();
    }

    /** The ports of this run. */
    private static final class Ports {
        private static final PortRange RANGE = lock();

        private static PortRange lock() {
            try {
                return PortRange.lock();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Starts a target, waits until it accepts connections, and returns its address. */
    String startTarget(String host) throws IOException, InterruptedException {
        String address = freeAddress();
        startJava(host, TargetMain.class, address, host);
        awaitListening(address);
        return address;
    }

    /** Writes the settings of a new daemon with free ports, starts it and waits until it serves. */
    void startDaemon(String member) throws IOException, InterruptedException {
        String callerAddress = freeAddress();
        String operatorAddress = freeAddress();
        Path file = mFolder.resolve(member + ".yaml");
        Files.writeString(
                file,
                String.join(
                        "\n",
                        "member: " + member,
                        "zone: zone-1",
                        "callers: " + callerAddress,
                        "peers: " + freeAddress(),
                        "operators: " + operatorAddress,
                        "platform: " + mStoreAddress,
                        ""));
        mCallerAddresses.put(member, callerAddress);
        mOperatorAddresses.put(member, operatorAddress);
        restartDaemon(member);
    }

    /** Starts a daemon with its existing settings and addresses, and waits until it serves. */
    void restartDaemon(String member) throws IOException, InterruptedException {
        launchDaemon(member);
        awaitListening(mOperatorAddresses.get(member));
        try {
            awaitStatus(member, "\"serving\"", true);
        } catch (ConnectException e) {
            boolean exited = !mProcesses.get(member).isAlive();
            throw new IOException(member + " exited=" + exited + ", output: " + log(member), e);
        }
    }

    /** Starts a daemon with its existing settings and addresses, without waiting for it. */
    void launchDaemon(String member) throws IOException {
        Path file = mFolder.resolve(member + ".yaml");
        startJava(member, DaemonMain.class, "--config", file.toString());
    }

    /** Kills a process and waits until it has ended. */
    void kill(String name) {
        mProcesses.get(name).destroyForcibly().onExit().join();
    }

    /** Suspends a process until {@link #resume}. */
    void pause(String name) throws IOException, InterruptedException {
        signal("-STOP", name);
    }

    /** Resumes a suspended process. */
    void resume(String name) throws IOException, InterruptedException {
        signal("-CONT", name);
    }

    /** Sends a signal, such as {@code -HUP}, to a process. */
    void signal(String signal, String name) throws IOException, InterruptedException {
        String id = Long.toString(mProcesses.get(name).pid());
        new ProcessBuilder("kill", signal, id).start().waitFor();
    }

    /** Makes the store fail in the given way from now on. */
    void setStoreFault(StoreFault fault) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + mStoreAddress + "/fault"))
                        .POST(BodyPublishers.ofString(fault.name()))
                        .build();
        mHttp.send(request, BodyHandlers.discarding());
    }

    /** Returns how many times each request, by its {@code Request-Name}, has run on a target. */
    Map<String, Integer> runCounts(String address) throws IOException, InterruptedException {
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

    /** Returns the address at which a daemon accepts callers' requests. */
    String callerAddress(String member) {
        return mCallerAddresses.get(member);
    }

    /** Returns the address at which a daemon accepts operators' requests. */
    String operatorAddress(String member) {
        return mOperatorAddresses.get(member);
    }

    /** Runs the command line tool against a daemon and waits until it exits. */
    CliResult runCli(String member, String... command) throws IOException, InterruptedException {
        List<String> args = new ArrayList<>(List.of("--daemon", mOperatorAddresses.get(member)));
        args.addAll(Arrays.asList(command));
        Path log = Files.createTempFile(mFolder, "tool", ".log");
        Process process = start(log, CliMain.class, args.toArray(String[]::new));
        process.waitFor();
        return new CliResult(process.exitValue(), Files.readString(log));
    }

    /** Writes a release note to a file and returns its path. */
    String writeNote(String name, String text) throws IOException {
        Path file = mFolder.resolve(name + ".yaml");
        Files.writeString(file, text);
        return file.toString();
    }

    /** Sends a request to a daemon and waits for the response; an empty secret sends no key. */
    HttpResponse<String> call(String member, String method, String path, String secret)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + mCallerAddresses.get(member) + path))
                        .timeout(CALL_TIMEOUT)
                        .method(method, BodyPublishers.ofString("body"));
        if (!secret.isEmpty()) {
            request.header("Authorization", "Bearer " + secret);
        }
        return mHttp.send(request.build(), BodyHandlers.ofString());
    }

    /**
     * Sends a request to a daemon without waiting.
     *
     * @param runMs run time that the stand-in target simulates, in milliseconds
     */
    CompletableFuture<HttpResponse<String>> callAsync(
            String member, String method, String path, String secret, int runMs) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + mCallerAddresses.get(member) + path))
                        .timeout(CALL_TIMEOUT)
                        .method(method, BodyPublishers.ofString("body"))
                        .header("Authorization", "Bearer " + secret)
                        .header("Run-Ms", Integer.toString(runMs))
                        .build();
        return mHttp.sendAsync(request, BodyHandlers.ofString());
    }

    /**
     * Waits until a daemon's status contains a text.
     *
     * @throws IOException if it does not within the start timeout
     */
    void awaitStatus(String member, String text) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (!status(member).contains(text)) {
            if (System.nanoTime() > deadline) {
                throw new IOException(member + "'s status does not contain " + text);
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** Returns the response body of a path of a daemon's operator interface. */
    String page(String member, String path) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://" + mOperatorAddresses.get(member) + path))
                        .timeout(CALL_TIMEOUT)
                        .build();
        return mHttp.send(request, BodyHandlers.ofString()).body();
    }

    /** Returns the status page of a daemon, as JSON. */
    String status(String member) throws IOException, InterruptedException {
        return page(member, "/status");
    }

    /** Returns the output of a process so far, stdout and stderr. */
    String log(String name) throws IOException {
        return Files.readString(mFolder.resolve(name + ".log"));
    }

    /** Terminates a process gracefully (SIGTERM) and returns its exit code. */
    int stop(String name) throws InterruptedException {
        mProcesses.get(name).destroy();
        return awaitExit(name);
    }

    /** Waits until a process has ended and returns its exit code. */
    int awaitExit(String name) throws InterruptedException {
        return mProcesses.get(name).waitFor();
    }

    /** Like {@link #stop}, but returns -1 if the wait was interrupted, for use in lambdas. */
    int stopUnchecked(String name) {
        try {
            return stop(name);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    /** Waits until a daemon's status contains a text, or until it does not. */
    void awaitStatus(String member, String text, boolean present)
            throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (status(member).contains(text) != present) {
            if (System.nanoTime() > deadline) {
                throw new IOException(
                        member + "'s status did not change as expected: " + status(member));
            }
            Thread.sleep(POLL_MS);
        }
    }

    private void startJava(String name, Class<?> main, String... args) throws IOException {
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

    /** The result of a run of the command line tool; the output holds stdout and stderr. */
    record CliResult(int exitCode, String output) {}
}
