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

/** The tool's commands. */
enum Command {
    NOTE_CHECK(
            "note check FILE",
            "check a release note without applying it; with --daemon, against the state in force") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            String file = call.operand();
            ParsedNote parsed = NoteReader.read(file, Files.readString(Path.of(file)));
            List<Finding> findings = parsed.findings();
            String against = "";
            if (findings.isEmpty() && call.daemonGiven()) {
                byte[] reply = call.post("/notes/check", file, Files.readString(Path.of(file)));
                ReplyToNoteCheck answer = OperatorJson.decodeNoteCheck(reply);
                findings = answer.findings();
                against = " against revision " + answer.revision();
            }
            findings.forEach(call.out()::println);
            if (findings.stream().anyMatch(f -> f.severity() == Severity.ERROR)) {
                return ExitCode.FINDINGS;
            }
            call.out().println(file + ": no errors" + against);
            return ExitCode.OK;
        }
    },
    NOTE_APPLY("note apply FILE", "send a release note and wait until it is in force") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            String file = call.operand();
            byte[] reply = call.post("/notes", file, Files.readString(Path.of(file)));
            ReplyToNote answer = OperatorJson.decodeNoteAnswer(reply);
            call.out()
                    .println(
                            answer.result().name().toLowerCase(java.util.Locale.ROOT)
                                    + " revision="
                                    + answer.revision()
                                    + ": "
                                    + answer.detail());
            answer.findings().forEach(call.out()::println);
            return switch (answer.result()) {
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
        ExitCode run(Invocation call) throws IOException {
            ReplyToHistory answer = OperatorJson.decodeHistory(call.get("/notes"));
            call.out().print(HistoryFormatter.list(answer));
            return ExitCode.OK;
        }
    },
    NOTE_SHOW("note show WHICH", "show an accepted note by its revision or id") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            String which = URLEncoder.encode(call.operand(), StandardCharsets.UTF_8);
            ReplyToHistory answer = OperatorJson.decodeHistory(call.get("/notes?which=" + which));
            call.out().print(HistoryFormatter.show(answer));
            return answer.notes().isEmpty() ? ExitCode.FAILED : ExitCode.OK;
        }
    },
    EXPORT("export", "print the state in force as one release note") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            call.out().write(call.get("/export"));
            return ExitCode.OK;
        }
    },
    STATUS("status", "show how the entries are") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            StatusReport report = OperatorJson.decodeStatus(call.get("/status"));
            call.out().print(StatusFormatter.of(report));
            return ExitCode.OK;
        }
    },
    WAVE_PLAN("wave plan POOL...", "plan to reboot every host of the pools, or of all pools") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            return WaveCalls.call(call, "plan");
        }
    },
    WAVE_START("wave start", "start or resume the maintenance wave") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            return WaveCalls.call(call, "start");
        }
    },
    WAVE_PAUSE("wave pause", "take no further host; those that are out come back") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            return WaveCalls.call(call, "pause");
        }
    },
    WAVE_SHOW("wave show", "show the maintenance wave and the hosts out of service") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            return WaveCalls.call(call, "show");
        }
    },
    TRACE("trace ID FILE...", "print what the logs in the files say of a job, in order") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            String[] words = call.operand().split(" ");
            List<String> lines = new ArrayList<>();
            for (String file : Arrays.asList(words).subList(1, words.length)) {
                lines.addAll(Files.readAllLines(Path.of(file)));
            }
            List<String> trace = JobTrace.of(words[0], lines);
            trace.forEach(call.out()::println);
            return trace.isEmpty() ? ExitCode.FAILED : ExitCode.OK;
        }
    },
    KEY("key", "read a secret from standard input and print its digest") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            String secret = new String(call.in().readAllBytes(), StandardCharsets.UTF_8).strip();
            call.out().println(KeyDigest.ofSecret(secret).toHex());
            return ExitCode.OK;
        }
    };

    private static final String MANY = "...";

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

    /** Runs the command. */
    abstract ExitCode run(Invocation call) throws IOException;

    /** Returns the command that the words start with, or empty. */
    static Optional<Command> find(List<String> words) {
        for (Command command : values()) {
            List<String> name = command.words();
            int operands = command.hasOperand() ? 1 : 0;
            boolean counts =
                    command.mUsage.endsWith(MANY)
                            ? words.size() >= name.size()
                            : words.size() == name.size() + operands;
            if (counts && words.subList(0, name.size()).equals(name)) {
                return Optional.of(command);
            }
        }
        return Optional.empty();
    }

    /** Returns what follows the command's name, joined by spaces. */
    String operand(List<String> words) {
        return String.join(" ", words.subList(words().size(), words.size()));
    }

    private boolean hasOperand() {
        return !mUsage.endsWith(MANY) && Character.isUpperCase(mUsage.charAt(mUsage.length() - 1));
    }

    /** Returns the command's name: the words of its usage that are not operands. */
    private List<String> words() {
        return Stream.of(mUsage.split(" "))
                .filter(word -> Character.isLowerCase(word.charAt(0)))
                .toList();
    }
}
