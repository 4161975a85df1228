package org.hibiscususher.cli;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.message.Output.ReplyToHistory;
import org.hibiscususher.core.message.Output.ReplyToNote;
import org.hibiscususher.core.message.Output.ReplyToNoteCheck;
import org.hibiscususher.core.message.StatusReport;
import org.hibiscususher.core.note.Finding;
import org.hibiscususher.core.note.Severity;
import org.hibiscususher.wire.json.OperatorJson;
import org.hibiscususher.wire.yaml.NoteReader;
import org.hibiscususher.wire.yaml.ParsedNote;

/**
 * The tool's commands.
 *
 * <p>A command is recognized by its usage text: lower-case words are its name, words in capitals
 * its operands, and a last operand that ends in {@code ...} stands for any number of arguments.
 */
enum Command {
    NOTE_CHECK(
            "note check FILE",
            "check a release note without applying it; with --daemon, against the state in force") {
        @Override
        ExitCode run(Invocation invocation) throws IOException {
            String file = invocation.operands();
            ParsedNote parsed = NoteReader.read(file, Files.readString(Path.of(file)));
            List<Finding> findings = parsed.findings();
            String against = "";
            if (findings.isEmpty() && invocation.daemonGiven()) {
                byte[] body =
                        invocation.post("/notes/check", file, Files.readString(Path.of(file)));
                ReplyToNoteCheck reply = OperatorJson.decodeNoteCheck(body);
                findings = reply.findings();
                against = " against revision " + reply.revision();
            }
            findings.forEach(invocation.out()::println);
            if (findings.stream().anyMatch(f -> f.severity() == Severity.ERROR)) {
                return ExitCode.FINDINGS;
            }
            invocation.out().println(file + ": no errors" + against);
            return ExitCode.OK;
        }
    },
    NOTE_APPLY("note apply FILE", "send a release note and wait until it is in force") {
        @Override
        ExitCode run(Invocation invocation) throws IOException {
            String file = invocation.operands();
            byte[] body = invocation.post("/notes", file, Files.readString(Path.of(file)));
            ReplyToNote reply = OperatorJson.decodeNoteAnswer(body);
            invocation
                    .out()
                    .println(
                            reply.result().name().toLowerCase(java.util.Locale.ROOT)
                                    + " revision="
                                    + reply.revision()
                                    + ": "
                                    + reply.detail());
            reply.findings().forEach(invocation.out()::println);
            return switch (reply.result()) {
                case ACCEPTED -> ExitCode.OK;
                case WRITTEN -> ExitCode.NOT_CONFIRMED;
                case FAULTY -> ExitCode.FINDINGS;
                case CONFLICT -> ExitCode.CONFLICT;
                case UNAVAILABLE -> ExitCode.FAILED;
            };
        }
    },
    NOTE_HISTORY("note history", "list the accepted notes, newest first") {
        @Override
        ExitCode run(Invocation invocation) throws IOException {
            ReplyToHistory reply = OperatorJson.decodeHistory(invocation.get("/notes"));
            invocation.out().print(HistoryFormatter.formatList(reply));
            return ExitCode.OK;
        }
    },
    NOTE_SHOW("note show WHICH", "show an accepted note by its revision or id") {
        @Override
        ExitCode run(Invocation invocation) throws IOException {
            String which = URLEncoder.encode(invocation.operands(), StandardCharsets.UTF_8);
            ReplyToHistory reply =
                    OperatorJson.decodeHistory(invocation.get("/notes?which=" + which));
            invocation.out().print(HistoryFormatter.formatNotes(reply));
            return reply.notes().isEmpty() ? ExitCode.FAILED : ExitCode.OK;
        }
    },
    EXPORT("export", "print the state in force as one release note") {
        @Override
        ExitCode run(Invocation invocation) throws IOException {
            invocation.out().write(invocation.get("/export"));
            return ExitCode.OK;
        }
    },
    STATUS("status", "show the state of the daemon and of the other entries") {
        @Override
        ExitCode run(Invocation invocation) throws IOException {
            StatusReport report = OperatorJson.decodeStatus(invocation.get("/status"));
            invocation.out().print(StatusFormatter.format(report));
            return ExitCode.OK;
        }
    },
    WAVE_PLAN("wave plan POOL...", "plan to reboot every host of the pools, or of all pools") {
        @Override
        ExitCode run(Invocation invocation) throws IOException {
            return WaveCalls.run(invocation, "plan");
        }
    },
    WAVE_START("wave start", "start or resume the maintenance wave") {
        @Override
        ExitCode run(Invocation invocation) throws IOException {
            return WaveCalls.run(invocation, "start");
        }
    },
    WAVE_PAUSE("wave pause", "reboot no further hosts; hosts already out of service return") {
        @Override
        ExitCode run(Invocation invocation) throws IOException {
            return WaveCalls.run(invocation, "pause");
        }
    },
    WAVE_SHOW("wave show", "show the maintenance wave and the hosts out of service") {
        @Override
        ExitCode run(Invocation invocation) throws IOException {
            return WaveCalls.run(invocation, "show");
        }
    },
    TRACE(
            "trace ID FILE...",
            "print a job's log lines and related events from the files, by time") {
        @Override
        ExitCode run(Invocation invocation) throws IOException {
            String[] operands = invocation.operands().split(" ");
            List<String> lines = new ArrayList<>();
            for (String file : Arrays.asList(operands).subList(1, operands.length)) {
                lines.addAll(Files.readAllLines(Path.of(file)));
            }
            List<String> trace = JobTrace.of(operands[0], lines);
            trace.forEach(invocation.out()::println);
            return trace.isEmpty() ? ExitCode.FAILED : ExitCode.OK;
        }
    },
    KEY("key", "read a secret from standard input and print its digest") {
        @Override
        ExitCode run(Invocation invocation) throws IOException {
            String secret =
                    new String(invocation.in().readAllBytes(), StandardCharsets.UTF_8).strip();
            invocation.out().println(KeyDigest.ofSecret(secret).toHex());
            return ExitCode.OK;
        }
    };

    private static final String VARIADIC_SUFFIX = "...";

    private final String mUsage;
    private final String mSummary;

    Command(String usage, String summary) {
        mUsage = usage;
        mSummary = summary;
    }

    String usage() {
        return mUsage;
    }

    String summary() {
        return mSummary;
    }

    /**
     * Runs the command and prints its result.
     *
     * @throws IOException if a file can't be read or the daemon can't be reached
     */
    abstract ExitCode run(Invocation invocation) throws IOException;

    /** Returns the command whose name and number of operands the arguments match, or empty. */
    static Optional<Command> find(List<String> arguments) {
        for (Command command : values()) {
            List<String> name = command.nameWords();
            int operandCount = command.hasOperand() ? 1 : 0;
            boolean countFits =
                    command.mUsage.endsWith(VARIADIC_SUFFIX)
                            ? arguments.size() >= name.size()
                            : arguments.size() == name.size() + operandCount;
            if (countFits && arguments.subList(0, name.size()).equals(name)) {
                return Optional.of(command);
            }
        }
        return Optional.empty();
    }

    /** Returns the arguments after the command's name, joined by spaces. */
    String operands(List<String> arguments) {
        return String.join(" ", arguments.subList(nameWords().size(), arguments.size()));
    }

    private boolean hasOperand() {
        return !mUsage.endsWith(VARIADIC_SUFFIX)
                && Character.isUpperCase(mUsage.charAt(mUsage.length() - 1));
    }

    /** Returns the words of the command's name. */
    private List<String> nameWords() {
        return Stream.of(mUsage.split(" "))
                .filter(word -> Character.isLowerCase(word.charAt(0)))
                .toList();
    }
}
