package org.hibiscususher.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.NoSuchFileException;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Entry point of the operators' tool, {@code hibiscususher}; exits with an {@link ExitCode}. */
public final class CliMain {
    private static final String VERSION = "0.1.0";
    private static final String DEFAULT_DAEMON = "127.0.0.1:7003";

    private CliMain() {}

    /** Runs one command and exits the process. */
    public static void main(String[] args) {
        System.exit(run(args, System.in, System.out, System.err).code());
    }

    static ExitCode run(String[] args, InputStream in, PrintStream out, PrintStream err) {
        Options options =
                new Options()
                        .addOption(null, "daemon", true, "IP number and port of a daemon")
                        .addOption(null, "help", false, "show this help")
                        .addOption(null, "version", false, "show the version");
        try {
            CommandLine commandLine = new DefaultParser().parse(options, args);
            if (commandLine.hasOption("help")) {
                printHelp(out);
                return ExitCode.OK;
            }
            if (commandLine.hasOption("version")) {
                out.println("hibiscususher " + VERSION);
                return ExitCode.OK;
            }
            List<String> arguments = commandLine.getArgList();
            Optional<Command> command = Command.find(arguments);
            if (command.isEmpty()) {
                err.println("hibiscususher: unknown command; see --help");
                return ExitCode.USAGE;
            }
            String operands = command.get().operands(arguments);
            String daemon = commandLine.getOptionValue("daemon", DEFAULT_DAEMON);
            return command.get()
                    .run(
                            new Invocation(
                                    daemon, commandLine.hasOption("daemon"), operands, in, out));
        } catch (ParseException e) {
            err.println("hibiscususher: " + e.getMessage() + "; see --help");
            return ExitCode.USAGE;
        } catch (NoSuchFileException e) {
            err.println("hibiscususher: no such file: " + e.getMessage());
            return ExitCode.FAILED;
        } catch (IOException e) {
            err.println("hibiscususher: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private static void printHelp(PrintStream out) {
        out.println("usage: hibiscususher [--daemon IP:PORT] COMMAND");
        for (Command command : Command.values()) {
            out.printf("  %-20s %s%n", command.usage(), command.summary());
        }
        out.println("options:");
        out.println("  --daemon IP:PORT   operator address of a daemon (" + DEFAULT_DAEMON + ")");
        out.println("  --help, --version");
        out.println("exit codes:");
        for (ExitCode code : ExitCode.values()) {
            String name = code.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
            out.printf("  %d  %s%n", code.code(), name);
        }
    }
}
