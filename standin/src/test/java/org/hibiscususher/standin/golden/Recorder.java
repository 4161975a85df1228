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

/** Plays a session on a small site and writes down what operators and callers see. */
final class Recorder {
    private static final long SEED = 3;
    private static final int STEP_MS = 10;
    private static final int REBOOT_MS = 3_000;
    private static final int LIST_LAG_MS = 200;
    private static final List<String> HOSTS = List.of("h1", "h2", "h3", "h4", "h5");

    private final VirtualSite mSite = VirtualSite.create(SEED, ControlSettings.DEFAULT);
    private final StringBuilder mText = new StringBuilder();
    private final Map<VirtualRequest, String> mOpen = new LinkedHashMap<>();
    private final List<Long> mCalls = new ArrayList<>();
    private final long mStartMs;
    private int mEvents;
    private int mRequests;

    Recorder() {
        HOSTS.forEach(mSite.platform()::addHost);
        mSite.platform().setRebootMs(REBOOT_MS);
        mSite.startHostListUpdates(LIST_LAG_MS);
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
        mEvents = mSite.events().size();
        mCalls.addAll(mSite.noteReplies().keySet());
    }

    String text() {
        return mText.toString();
    }

    /** Writes a heading. */
    void say(String heading) {
        line("# " + heading);
    }

    void store(StoreFault fault) {
        mSite.store().setFault(fault);
    }

    void shutDown(String entry) {
        mSite.shutDown(entry);
    }

    void kill(String entry) {
        mSite.kill(entry);
    }

    void start(String entry) {
        mSite.start(entry, "z1");
    }

    String limitNote(String id, int limit) {
        return "note: "
                + id
                + "\nauthor: anna\nchanged:\n  teams: [{name: fitters, share: 1, "
                + "upper limit: "
                + limit
                + "}]\n";
    }

    String limitNote(String id, int limit, int base) {
        return "base: " + base + "\n" + limitNote(id, limit);
    }

    void submit(String entry, String text) {
        ParsedNote parsed = NoteReader.read("note.yaml", text);
        line("operator sends note " + parsed.note().id() + " to " + entry);
        parsed.findings().forEach(f -> line("  " + f));
        if (parsed.findings().isEmpty()) {
            mSite.submitNote(entry, parsed.note());
        }
    }

    void call(String entry, String queue, String team, int runMs) {
        String name = "request " + ++mRequests;
        line(name + " of " + team + " to " + queue + " through " + entry);
        mOpen.put(mSite.sendRequest(entry, queue, team, runMs), name);
    }

    void wave(String entry, WaveCommand command, String... pools) {
        line("operator says " + command + " to " + entry);
        mSite.sendWaveCommand(entry, command, List.of(pools));
    }

    /** Lets time pass and writes down what is seen. */
    void run(int ms) {
        for (int i = 0; i < ms / STEP_MS; i++) {
            mSite.run(STEP_MS);
            observe();
        }
    }

    private void observe() {
        for (; mEvents < mSite.events().size(); mEvents++) {
            String event = mSite.events().get(mEvents);
            line(event.substring(event.indexOf(' ') + 1));
        }
        for (Map.Entry<Long, ReplyToNote> answer : mSite.noteReplies().entrySet()) {
            if (!mCalls.contains(answer.getKey())) {
                mCalls.add(answer.getKey());
                ReplyToNote a = answer.getValue();
                line("answer: " + a.result() + " revision=" + a.revision() + ": " + a.detail());
                a.findings().forEach(f -> line("  " + f));
            }
        }
        for (Map.Entry<Long, ReplyToWave> answer : mSite.waveReplies().entrySet()) {
            if (!mCalls.contains(answer.getKey())) {
                mCalls.add(answer.getKey());
                line("answer: " + answer.getValue().report());
            }
        }
        for (VirtualRequest request : List.copyOf(mOpen.keySet())) {
            if (request.isFinished()) {
                line(mOpen.remove(request) + ": " + outcome(request));
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

    private void line(String text) {
        mText.append(String.format("%6d ms  %s%n", mSite.nowMs() - mStartMs, text));
    }
}
