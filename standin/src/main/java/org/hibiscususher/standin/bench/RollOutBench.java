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
 * Measures in virtual time how long a release note takes to be in force everywhere, by each way of
 * spreading it and under each fault.
 */
public final class RollOutBench {
    private static final int ENTRIES = 9;
    private static final int NOTES = 40;
    private static final int[] SEEDS = {1, 2, 3};
    private static final int SETTLE_MS = 2_000;
    private static final int LIMIT_MS = 20_000;
    private static final double MEDIAN = 0.5;

    private RollOutBench() {}

    /** Prints one table of times and one of sizes. */
    public static void main(String[] args) {
        PrintStream out = System.out;
        out.printf(
                Locale.ROOT,
                "entries=%d notes=%d per seed, seeds=1,2,3; times in ms, median / worst%n%n",
                ENTRIES,
                NOTES);
        out.println(
                "| condition | spread by | in force everywhere | answered | not in 20 s |"
                        + " store calls a note |");
        out.println("|---|---|---|---|---|---|");
        for (RollOutCondition condition : RollOutCondition.values()) {
            for (RollOutSpread spread : RollOutSpread.values()) {
                out.println(measure(condition, spread));
            }
        }
        out.println();
        RollOutSizes.print(out);
    }

    private static String measure(RollOutCondition condition, RollOutSpread spread) {
        List<Long> everywhere = new ArrayList<>();
        List<Long> answered = new ArrayList<>();
        long calls = 0;
        int missed = 0;
        for (int seed : SEEDS) {
            VirtualSite site = open(seed, spread);
            condition.begin(site);
            spread.begin(site);
            long before = site.store().reads() + site.store().writes();
            for (int i = 0; i < NOTES; i++) {
                missed += apply(site, spread, i, everywhere, answered) ? 0 : 1;
            }
            calls += site.store().reads() + site.store().writes() - before;
        }
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s | %d of %d | %.0f |",
                condition.label(),
                spread.label(),
                text(everywhere),
                text(answered),
                missed,
                NOTES * SEEDS.length,
                calls / (double) (NOTES * SEEDS.length));
    }

    private static VirtualSite open(int seed, RollOutSpread spread) {
        VirtualSite site = VirtualSite.create(seed, spread.settings());
        for (int i = 1; i <= ENTRIES; i++) {
            site.start("e" + i, "z" + (i % 3 + 1));
        }
        site.run(SETTLE_MS);
        return site;
    }

    /** Applies one note; returns whether it was in force everywhere within the limit. */
    private static boolean apply(
            VirtualSite site,
            RollOutSpread spread,
            int number,
            List<Long> everywhere,
            List<Long> answered) {
        long startMs = site.nowMs();
        long revision = newest(site) + 1;
        long call = site.submitNote("e1", note(number));
        boolean inForce = false;
        boolean answer = !spread.answers();
        while (site.nowMs() - startMs < LIMIT_MS && !(inForce && answer)) {
            site.run(1);
            if (!inForce && inForceEverywhere(site, revision)) {
                inForce = true;
                everywhere.add(site.nowMs() - startMs);
            }
            ReplyToNote given = site.noteReplies().get(call);
            if (!answer && given != null) {
                answer = true;
                answered.add(site.nowMs() - startMs);
            }
        }
        return inForce;
    }

    private static boolean inForceEverywhere(VirtualSite site, long revision) {
        return site.entries().values().stream()
                .filter(e -> e.processState() == ProcessState.RUNNING)
                .allMatch(e -> e.world().configuration().revision() >= revision);
    }

    private static long newest(VirtualSite site) {
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

    private static String text(List<Long> times) {
        if (times.isEmpty()) {
            return "-";
        }
        Collections.sort(times);
        return times.get((int) (times.size() * MEDIAN)) + " / " + times.get(times.size() - 1);
    }
}
