package org.hibiscususher.standin.golden;

import org.hibiscususher.core.message.WaveCommand;
import org.hibiscususher.standin.store.StoreFault;

/** The sessions that are kept as golden files. */
enum Session {
    /** A note is refused with its findings, corrected, accepted, sent again and raced. */
    NOTE_LIFE {
        @Override
        void play(Recorder recorder) {
            recorder.say("a note with findings");
            recorder.submit(
                    "e1",
                    "note: limits\nauthor: anna\nchanged:\n"
                            + "  teams: [{name: nobody, share: 1, upper limit: 3}]\n");
            recorder.run(300);
            recorder.say("the same note, corrected");
            recorder.submit("e1", recorder.limitNote("limits", 3));
            recorder.run(600);
            recorder.say("the same note again, through another entry");
            recorder.submit("e2", recorder.limitNote("limits", 3));
            recorder.run(600);
            recorder.say("two operators who have both seen revision 2");
            recorder.submit("e1", recorder.limitNote("first", 4, 2));
            recorder.submit("e3", recorder.limitNote("second", 5, 2));
            recorder.run(1_000);
        }
    },
    /** A key is withdrawn while its holder sends requests. */
    KEY_WITHDRAWN {
        @Override
        void play(Recorder recorder) {
            recorder.call("e1", "lookups", "fitters", 50);
            recorder.run(200);
            recorder.say("the key is withdrawn");
            recorder.submit("e2", "note: lost-key\nauthor: anna\nwithdrawn:\n  keys: [key]\n");
            recorder.run(600);
            recorder.call("e1", "lookups", "fitters", 50);
            recorder.call("e3", "lookups", "fitters", 50);
            recorder.run(200);
        }
    },
    /** The store is down for half a minute; work goes on, notes wait. */
    STORE_OUTAGE {
        @Override
        void play(Recorder recorder) {
            recorder.say("the store is down");
            recorder.store(StoreFault.DOWN);
            recorder.run(10_000);
            recorder.call("e1", "lookups", "fitters", 50);
            recorder.call("e2", "lookups", "fitters", 50);
            recorder.run(500);
            recorder.submit("e1", recorder.limitNote("during-outage", 7));
            recorder.run(20_000);
            recorder.say("the store is back");
            recorder.store(StoreFault.NONE);
            recorder.run(3_000);
            recorder.submit("e1", recorder.limitNote("during-outage", 7));
            recorder.run(1_000);
        }
    },
    /** A host moves to another pool while it runs work. */
    HOST_MOVED {
        @Override
        void play(Recorder recorder) {
            for (int i = 0; i < 4; i++) {
                recorder.call("e" + (i % 3 + 1), "lookups", "fitters", 400);
            }
            recorder.run(50);
            recorder.say("h1 moves to the pool office");
            recorder.submit(
                    "e1",
                    "note: move\nauthor: berta\nchanged:\n  hosts:\n"
                            + "    - {name: h1, address: \"192.0.2.1:80\", zone: z1, "
                            + "pool: office}\n");
            recorder.run(3_000);
            recorder.call("e1", "letters", "fitters", 50);
            recorder.run(300);
        }
    },
    /** A wave reboots every host of a pool within its budget. */
    WAVE {
        @Override
        void play(Recorder recorder) {
            recorder.say("a wave over the pool office");
            recorder.wave("e1", WaveCommand.PLAN, "office");
            recorder.run(500);
            recorder.call("e2", "letters", "fitters", 700);
            recorder.run(20);
            recorder.wave("e2", WaveCommand.START);
            recorder.run(20_000);
            recorder.wave("e3", WaveCommand.SHOW);
            recorder.run(1_500);
        }
    },
    /** An entry is replaced: one leaves, another joins, and one dies. */
    ENTRIES_REPLACED {
        @Override
        void play(Recorder recorder) {
            recorder.say("e3 is asked to stop while it runs a request");
            recorder.call("e3", "lookups", "fitters", 300);
            recorder.run(20);
            recorder.shutDown("e3");
            recorder.run(1_500);
            recorder.say("e4 starts");
            recorder.start("e4");
            recorder.run(1_500);
            recorder.say("e2 dies");
            recorder.kill("e2");
            recorder.run(6_000);
            recorder.call("e4", "lookups", "fitters", 50);
            recorder.run(300);
        }
    };

    /** Plays the session. */
    abstract void play(Recorder recorder);

    /** Returns the name of the golden file. */
    String file() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-') + ".txt";
    }
}
