package org.hibiscususher.standin.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.hibiscususher.core.message.Output.ReplyToNote;
import org.hibiscususher.core.note.ReleaseNote;
import org.hibiscususher.standin.virtual.ProcessState;
import org.hibiscususher.standin.virtual.VirtualEntry;
import org.hibiscususher.standin.virtual.VirtualSite;
import org.hibiscususher.wire.yaml.NoteReader;

/**
 * Measures how long a release note takes to be in force on all entries, by propagation path and
 * fault, in virtual time.
 *
 * <p>Also prints the encoded sizes of the records that propagate it.
 */
public final class RollOutBench {
    private static final int ENTRIES = 9;
    private static final int NOTES_PER_SEED = 40;
    private static final int[] SEEDS = {1, 2, 3};
    private static final int SETTLE_MS = 2_000;
    private static final int TIME_LIMIT_MS = 20_000;
    private static final double MEDIAN = 0.5;

    private RollOutBench() {}

    /** Prints a table of times and the record sizes; takes no arguments. */
    public static void main(String[] args) {
        PrintStream out = System.out;
        out.printf(
                Locale.ROOT,
                "entries=%d notes=%d per seed, seeds=1,2,3; times in ms, median / worst%n%n",
                ENTRIES,
                NOTES_PER_SEED);
        out.println(
                "| condition | spread by | in force everywhere | answered | not in 20 s |"
                        + " store calls a note |");
        out.println("|---|---|---|---|---|---|");
        for (RollOutCondition condition : RollOutCondition.values()) {
            for (PropagationPath path : PropagationPath.values()) {
                out.println(measure(condition, path));
            }
        }
        out.println();
        ConfigurationSizes.print(out);
    }

    private static String measure(RollOutCondition condition, PropagationPath path) {
        List<Long> inForceMs = new ArrayList<>();
        List<Long> repliedMs = new ArrayList<>();
        long calls = 0;
        int missed = 0;
        for (int seed : SEEDS) {
            VirtualSite site = startSite(seed, path);
            condition.inject(site);
            path.disableOtherPaths(site);
            long callsBefore = site.store().reads() + site.store().writes();
            for (int i = 0; i < NOTES_PER_SEED; i++) {
                missed += applyNote(site, path, i, inForceMs, repliedMs) ? 0 : 1;
            }
            calls += site.store().reads() + site.store().writes() - callsBefore;
        }
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s | %d of %d | %.0f |",
                condition.label(),
                path.label(),
                text(inForceMs),
                text(repliedMs),
                missed,
                NOTES_PER_SEED * SEEDS.length,
                calls / (double) (NOTES_PER_SEED * SEEDS.length));
    }

    private static VirtualSite startSite(int seed, PropagationPath path) {
        VirtualSite site = VirtualSite.create(seed, path.settings());
        for (int i = 1; i <= ENTRIES; i++) {
            site.start("e" + i, "z" + (i % 3 + 1));
        }
        site.run(SETTLE_MS);
        return site;
    }

    /**
     * Submits one note and waits until it is in force and the operator has the reply.
     *
     * @param inForceMs gets the time until the note was in force on all running entries
     * @param repliedMs gets the time until the operator had the reply, if the path measures it
     * @return whether the note was in force within the time limit
     */
    private static boolean applyNote(
            VirtualSite site,
            PropagationPath path,
            int number,
            List<Long> inForceMs,
            List<Long> repliedMs) {
        long startMs = site.nowMs();
        long revision = newestRevision(site) + 1;
        long call = site.submitNote("e1", note(number));
        boolean inForce = false;
        boolean replied = !path.repliesToOperator();
        while (site.nowMs() - startMs < TIME_LIMIT_MS && !(inForce && replied)) {
            site.run(1);
            if (!inForce && inForceEverywhere(site, revision)) {
                inForce = true;
                inForceMs.add(site.nowMs() - startMs);
            }
            ReplyToNote reply = site.noteReplies().get(call);
            if (!replied && reply != null) {
                replied = true;
                repliedMs.add(site.nowMs() - startMs);
            }
        }
        return inForce;
    }

    private static boolean inForceEverywhere(VirtualSite site, long revision) {
        return site.entries().values().stream()
                .filter(e -> e.processState() == ProcessState.RUNNING)
                .allMatch(e -> e.world().configuration().revision() >= revision);
    }

    private static long newestRevision(VirtualSite site) {
        return site.entries().values().stream()
                .map(VirtualEntry::world)
                .mapToLong(w -> w.configuration().revision())
                .max()
                .orElse(0);
    }

    private static ReleaseNote note(int number) {
        String team = "{name: t%d, share: 1, upper limit: 1}".formatted(number);
        String text = "note: n%d%nauthor: bench%nadded: {teams: [%s]}%n".formatted(number, team);
        return NoteReader.read("note", text).note();
    }

    /** Returns the median and the greatest time, or a dash if there are none. */
    private static String text(List<Long> times) {
        if (times.isEmpty()) {
            return "-";
        }
        Collections.sort(times);
        return times.get((int) (times.size() * MEDIAN)) + " / " + times.get(times.size() - 1);
    }
}
