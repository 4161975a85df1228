package org.hibiscususher.standin.golden;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.message.Output.ReplyToNote;
import org.hibiscususher.core.message.Output.ReplyToWave;
import org.hibiscususher.core.message.WaveCommand;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.standin.store.StoreFault;
import org.hibiscususher.standin.virtual.VirtualRequest;
import org.hibiscususher.standin.virtual.VirtualSite;
import org.hibiscususher.wire.yaml.NoteReader;
import org.hibiscususher.wire.yaml.ParsedNote;

/**
 * Runs commands against a simulated site and records what operators and callers see.
 *
 * <p>The site has three entries, five hosts and two pools, and runs in virtual time from a fixed
 * seed, so that the same commands always give the same transcript. Each line starts with the
 * virtual milliseconds since the site was ready, with the initial release note applied.
 */
final class TranscriptRecorder {
    private static final long SEED = 3;
    private static final int SAMPLE_INTERVAL_MS = 10;
    private static final int REBOOT_DURATION_MS = 3_000;
    private static final int HOST_LIST_LAG_MS = 200;
    private static final List<String> HOSTS = List.of("h1", "h2", "h3", "h4", "h5");

    private final VirtualSite mSite = VirtualSite.create(SEED, ControlSettings.DEFAULT);
    private final StringBuilder mTranscript = new StringBuilder();
    private final Map<VirtualRequest, String> mOpenRequests = new LinkedHashMap<>();
    private final List<Long> mRecordedCallIds = new ArrayList<>();
    private final long mStartMs;
    private int mRecordedEvents;
    private int mRequestCount;

    TranscriptRecorder() {
        HOSTS.forEach(mSite.platform()::addHost);
        mSite.platform().setRebootMs(REBOOT_DURATION_MS);
        mSite.startHostListUpdates(HOST_LIST_LAG_MS);
        for (String entry : List.of("e1", "e2", "e3")) {
            mSite.start(entry, "z" + entry.substring(1));
        }
        mSite.run(1_000);
        String note =
                """
                note: opening
                author: anna
                added:
                  pools: [{name: parts}, {name: office}]
                  hosts:
                    - {name: h1, address: "192.0.2.1:80", zone: z1, pool: parts}
                    - {name: h2, address: "192.0.2.2:80", zone: z2, pool: parts}
                    - {name: h3, address: "192.0.2.3:80", zone: z3, pool: parts}
                    - {name: h4, address: "192.0.2.4:80", zone: z1, pool: office}
                    - {name: h5, address: "192.0.2.5:80", zone: z2, pool: office}
                  teams: [{name: fitters, share: 1, upper limit: 9}]
                  keys: [{name: key, team: fitters, digest: %s}]
                  queues: [{name: lookups, pool: parts}, {name: letters, pool: office}]
                """
                        .formatted(KeyDigest.ofSecret("fitters").toHex());
        mSite.submitNote("e1", NoteReader.read("opening", note).note());
        mSite.run(1_000);
        mStartMs = mSite.nowMs();
        mRecordedEvents = mSite.events().size();
        mRecordedCallIds.addAll(mSite.noteReplies().keySet());
    }

    /** Returns all lines recorded so far. */
    String transcript() {
        return mTranscript.toString();
    }

    /** Appends a heading to the transcript. */
    void heading(String text) {
        append("# " + text);
    }

    /** Makes the configuration store fail in the given way from now on. */
    void setStoreFault(StoreFault fault) {
        mSite.store().setFault(fault);
    }

    /** Requests a graceful shutdown of an entry. */
    void shutDownEntry(String entry) {
        mSite.shutDown(entry);
    }

    /** Ends an entry immediately, without a graceful shutdown. */
    void killEntry(String entry) {
        mSite.kill(entry);
    }

    /** Starts an entry in zone {@code z1}. */
    void startEntry(String entry) {
        mSite.start(entry, "z1");
    }

    /** Returns a release note that changes the upper limit of the team {@code fitters}. */
    String limitNote(String id, int limit) {
        return "note: "
                + id
                + "\nauthor: anna\nchanged:\n  teams: [{name: fitters, share: 1, "
                + "upper limit: "
                + limit
                + "}]\n";
    }

    /**
     * Returns a release note that changes the upper limit of the team {@code fitters}.
     *
     * @param base revision on which the note is based; the note is rejected as a conflict if there
     *     is a later revision
     */
    String limitNote(String id, int limit, int base) {
        return "base: " + base + "\n" + limitNote(id, limit);
    }

    /**
     * Parses a release note and, if it has no findings, submits it to an entry. Findings go to the
     * transcript.
     */
    void submitNote(String entry, String text) {
        ParsedNote parsed = NoteReader.read("note.yaml", text);
        append("operator sends note " + parsed.note().id() + " to " + entry);
        parsed.findings().forEach(f -> append("  " + f));
        if (parsed.findings().isEmpty()) {
            mSite.submitNote(entry, parsed.note());
        }
    }

    /**
     * Sends a caller's request to an entry.
     *
     * @param runMs run time on the target, in milliseconds
     */
    void sendRequest(String entry, String queue, String team, int runMs) {
        String name = "request " + ++mRequestCount;
        append(name + " of " + team + " to " + queue + " through " + entry);
        mOpenRequests.put(mSite.sendRequest(entry, queue, team, runMs), name);
    }

    /** Sends an operator's maintenance wave command; the pools matter for a plan only. */
    void sendWaveCommand(String entry, WaveCommand command, String... pools) {
        append("operator says " + command + " to " + entry);
        mSite.sendWaveCommand(entry, command, List.of(pools));
    }

    /** Advances virtual time and records events, responses and outcomes as they appear. */
    void advance(int ms) {
        for (int i = 0; i < ms / SAMPLE_INTERVAL_MS; i++) {
            mSite.run(SAMPLE_INTERVAL_MS);
            recordChanges();
        }
    }

    private void recordChanges() {
        for (; mRecordedEvents < mSite.events().size(); mRecordedEvents++) {
            String event = mSite.events().get(mRecordedEvents);
            append(event.substring(event.indexOf(' ') + 1));
        }
        for (Map.Entry<Long, ReplyToNote> response : mSite.noteReplies().entrySet()) {
            if (!mRecordedCallIds.contains(response.getKey())) {
                mRecordedCallIds.add(response.getKey());
                ReplyToNote reply = response.getValue();
                append(
                        "answer: "
                                + reply.result()
                                + " revision="
                                + reply.revision()
                                + ": "
                                + reply.detail());
                reply.findings().forEach(f -> append("  " + f));
            }
        }
        for (Map.Entry<Long, ReplyToWave> response : mSite.waveReplies().entrySet()) {
            if (!mRecordedCallIds.contains(response.getKey())) {
                mRecordedCallIds.add(response.getKey());
                append("answer: " + response.getValue().report());
            }
        }
        for (VirtualRequest request : List.copyOf(mOpenRequests.keySet())) {
            if (request.isFinished()) {
                append(mOpenRequests.remove(request) + ": " + outcome(request));
            }
        }
    }

    private static String outcome(VirtualRequest request) {
        if (request.isAnswered()) {
            return "answered, ran "
                    + request.runCount()
                    + " time"
                    + (request.runCount() == 1 ? "" : "s");
        }
        return request.refusal()
                .map(r -> "refused " + r.code() + ", " + r.executionStatus().code())
                .orElse("its entry died");
    }

    private void append(String text) {
        mTranscript.append(String.format("%6d ms  %s%n", mSite.nowMs() - mStartMs, text));
    }
}
