package org.hibiscususher.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.message.Output.AnswerNote;
import org.hibiscususher.core.message.StatusReport;
import org.hibiscususher.wire.json.OperatorJson;
import org.hibiscususher.wire.yaml.NoteReader;
import org.hibiscususher.wire.yaml.ParsedNote;

/** The tool's commands. */
enum Command {
    NOTE_CHECK("note check FILE", "check a release note without sending it") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            String file = call.operand();
            ParsedNote parsed = NoteReader.read(file, Files.readString(Path.of(file)));
            parsed.findings().forEach(call.out()::println);
            if (!parsed.findings().isEmpty()) {
                return ExitCode.FINDINGS;
            }
            call.out().println(file + ": no findings");
            return ExitCode.OK;
        }
    },
    NOTE_APPLY("note apply FILE", "send a release note and wait until it is in force") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            String file = call.operand();
            byte[] reply = call.post("/notes", Files.readString(Path.of(file)));
            AnswerNote answer = OperatorJson.decodeNoteAnswer(reply);
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
    STATUS("status", "show how the entries are") {
        @Override
        ExitCode run(Invocation call) throws IOException {
            StatusReport report = OperatorJson.decodeStatus(call.get("/status"));
            call.out().print(StatusText.of(report));
            return ExitCode.OK;
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
            int operands = command.mUsage.endsWith("FILE") ? 1 : 0;
            if (words.size() == name.size() + operands
                    && words.subList(0, name.size()).equals(name)) {
                return Optional.of(command);
            }
        }
        return Optional.empty();
    }

    private List<String> words() {
        return List.of(mUsage.replace(" FILE", "").split(" "));
    }
}
