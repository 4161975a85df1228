package org.hibiscususher.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.hibiscususher.daemon.settings.DaemonSettings;
import org.hibiscususher.daemon.settings.ParsedSettings;
import org.hibiscususher.daemon.settings.SettingsReader;

/**
 * Entry point of the daemon, {@code hibiscususherd}.
 *
 * <p>Exit codes: 0 after a graceful shutdown or a check without findings; 1 if the entry can't
 * start, or can't complete its requests and leave when it is stopped; 2 if the command line or the
 * settings are invalid.
 */
public final class DaemonMain {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%6$s%n";
    private static final String VERSION = "0.1.0";

    private DaemonMain() {}

    /**
     * Starts the daemon and returns; it runs until a signal such as SIGTERM starts the shutdown
     * hook.
     */
    public static void main(String[] args) {
        System.setProperty("java.util.logging.SimpleFormatter.format", LOG_FORMAT);
        int code = run(args, System.out, System.err);
        if (code != 0) {
            System.exit(code);
        }
    }

    /** Returns the exit code; 0 also if the daemon was started and keeps running. */
    static int run(String[] args, PrintStream out, PrintStream err) {
        Options options =
                new Options()
                        .addOption(null, "config", true, "the settings file (YAML)")
                        .addOption(null, "check", false, "check the settings and exit")
                        .addOption(null, "help", false, "show this help")
                        .addOption(null, "version", false, "show the version");
        try {
            CommandLine commandLine = new DefaultParser().parse(options, args);
            if (commandLine.hasOption("help")) {
                HelpFormatter.builder()
                        .get()
                        .printHelp(
                                "hibiscususherd --config FILE [--check]", "", options, "", false);
                return 0;
            }
            if (commandLine.hasOption("version")) {
                out.println("hibiscususherd " + VERSION);
                return 0;
            }
            if (!commandLine.hasOption("config")) {
                err.println("hibiscususherd: --config FILE is missing; see --help");
                return EXIT_USAGE;
            }
            return checkOrStart(
                    Path.of(commandLine.getOptionValue("config")),
                    commandLine.hasOption("check"),
                    out,
                    err);
        } catch (ParseException e) {
            err.println("hibiscususherd: " + e.getMessage() + "; see --help");
            return EXIT_USAGE;
        } catch (IOException e) {
            err.println("hibiscususherd: " + e.getMessage());
            return EXIT_FAILED;
        }
    }

    private static int checkOrStart(Path file, boolean checkOnly, PrintStream out, PrintStream err)
            throws IOException {
        ParsedSettings parsed = SettingsReader.read(file.toString(), Files.readString(file));
        parsed.findings().forEach(err::println);
        if (!parsed.findings().isEmpty()) {
            return EXIT_USAGE;
        }
        if (checkOnly) {
            out.println(file + ": no findings");
            return 0;
        }
        start(parsed.settings());
        return 0;
    }

    /**
     * Starts the daemon.
     *
     * <p>The shutdown hook is added before any address is bound, so that a signal during the start
     * cuts off no request that was read already.
     */
    private static void start(DaemonSettings settings) throws IOException {
        CompletableFuture<Daemon> started = new CompletableFuture<>();
        // System.exit() would block forever in a shutdown hook.
        Runnable stopAndHalt = () -> Runtime.getRuntime().halt(stop(started));
        Runtime.getRuntime().addShutdownHook(new Thread(stopAndHalt, "shutdown"));
        try {
            started.complete(Daemon.start(settings));
        } finally {
            started.completeExceptionally(new IOException("the entry has not started"));
        }
    }

    /** Waits until the daemon has started, shuts it down and returns the exit code. */
    private static int stop(CompletableFuture<Daemon> started) {
        try {
            return started.get().shutDown() ? 0 : EXIT_FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILED;
        } catch (ExecutionException e) {
            return EXIT_FAILED;
        }
    }
}
