package org.hibiscususher.standin.golden;

import org.hibiscususher.core.message.WaveCommand;
import org.hibiscususher.standin.store.StoreFault;

/**
 * The scenarios whose transcripts are kept as golden files.
 *
 * <p>The name of a constant determines the name of its file. Headings are part of the transcript.
 */
enum GoldenScenario {
    /** A note is rejected with findings, corrected, accepted, resubmitted, and raced by another. */
    NOTE_LIFE {
        @Override
        void run(TranscriptRecorder recorder) {
            recorder.heading("a note with findings");
            recorder.submitNote(
                    "e1",
                    "note: limits\nauthor: anna\nchanged:\n"
                            + "  teams: [{name: nobody, share: 1, upper limit: 3}]\n");
            recorder.advance(300);
            recorder.heading("the same note, corrected");
            recorder.submitNote("e1", recorder.limitNote("limits", 3));
            recorder.advance(600);
            recorder.heading("the same note again, through another entry");
            recorder.submitNote("e2", recorder.limitNote("limits", 3));
            recorder.advance(600);
            recorder.heading("two operators who have both seen revision 2");
            recorder.submitNote("e1", recorder.limitNote("first", 4, 2));
            recorder.submitNote("e3", recorder.limitNote("second", 5, 2));
            recorder.advance(1_000);
        }
    },
    /** An access key is withdrawn while its team sends requests. */
    KEY_WITHDRAWN {
        @Override
        void run(TranscriptRecorder recorder) {
            recorder.sendRequest("e1", "lookups", "fitters", 50);
            recorder.advance(200);
            recorder.heading("the key is withdrawn");
            recorder.submitNote("e2", "note: lost-key\nauthor: anna\nwithdrawn:\n  keys: [key]\n");
            recorder.advance(600);
            recorder.sendRequest("e1", "lookups", "fitters", 50);
            recorder.sendRequest("e3", "lookups", "fitters", 50);
            recorder.advance(200);
        }
    },
    /** The store is down for 30 s: requests continue, a note can be applied only afterwards. */
    STORE_OUTAGE {
        @Override
        void run(TranscriptRecorder recorder) {
            recorder.heading("the store is down");
            recorder.setStoreFault(StoreFault.DOWN);
            recorder.advance(10_000);
            recorder.sendRequest("e1", "lookups", "fitters", 50);
            recorder.sendRequest("e2", "lookups", "fitters", 50);
            recorder.advance(500);
            recorder.submitNote("e1", recorder.limitNote("during-outage", 7));
            recorder.advance(20_000);
            recorder.heading("the store is back");
            recorder.setStoreFault(StoreFault.NONE);
            recorder.advance(3_000);
            recorder.submitNote("e1", recorder.limitNote("during-outage", 7));
            recorder.advance(1_000);
        }
    },
    /** A host that runs requests is moved to another pool. */
    HOST_MOVED {
        @Override
        void run(TranscriptRecorder recorder) {
            for (int i = 0; i < 4; i++) {
                recorder.sendRequest("e" + (i % 3 + 1), "lookups", "fitters", 400);
            }
            recorder.advance(50);
            recorder.heading("h1 moves to the pool office");
            recorder.submitNote(
                    "e1",
                    "note: move\nauthor: berta\nchanged:\n  hosts:\n"
                            + "    - {name: h1, address: \"192.0.2.1:80\", zone: z1, "
                            + "pool: office}\n");
            recorder.advance(3_000);
            recorder.sendRequest("e1", "letters", "fitters", 50);
            recorder.advance(300);
        }
    },
    /** A maintenance wave reboots all hosts of a pool within its availability budget. */
    WAVE {
        @Override
        void run(TranscriptRecorder recorder) {
            recorder.heading("a wave over the pool office");
            recorder.sendWaveCommand("e1", WaveCommand.PLAN, "office");
            recorder.advance(500);
            recorder.sendRequest("e2", "letters", "fitters", 700);
            recorder.advance(20);
            recorder.sendWaveCommand("e2", WaveCommand.START);
            recorder.advance(20_000);
            recorder.sendWaveCommand("e3", WaveCommand.SHOW);
            recorder.advance(1_500);
        }
    },
    /** One entry shuts down gracefully, a new one joins, and another is killed. */
    ENTRIES_REPLACED {
        @Override
        void run(TranscriptRecorder recorder) {
            recorder.heading("e3 is asked to stop while it runs a request");
            recorder.sendRequest("e3", "lookups", "fitters", 300);
            recorder.advance(20);
            recorder.shutDownEntry("e3");
            recorder.advance(1_500);
            recorder.heading("e4 starts");
            recorder.startEntry("e4");
            recorder.advance(1_500);
            recorder.heading("e2 dies");
            recorder.killEntry("e2");
            recorder.advance(6_000);
            recorder.sendRequest("e4", "lookups", "fitters", 50);
            recorder.advance(300);
        }
    };

    /** Runs the commands of the scenario. */
    abstract void run(TranscriptRecorder recorder);

    /** Returns the file name of the expected transcript, such as {@code note-life.txt}. */
    String fileName() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-') + ".txt";
    }
}
