import java.nio.file.Path;
import java.util.List;

/** A submission is cancelled while the store is down and the owner's lease runs out. */
public final class CancelInOutage {
    private static final int ENTRIES = 9;
    private static final int WORKERS = 2;
    private static final int STOP_MS = 150;
    private static final int ROUNDS = 9;
    private static final int COUNT = 40;
    private static final int CPU = 2_000;
    private static final int MEM_MB = 256;
    private static final long WORK_MS = 1_500;
    private static final long OUTAGE_MS = 4_500;
    private static final long OUTAGE_BEFORE_END_MS = 400;
    private static final long CANCEL_BEFORE_END_MS = 100;
    private static final long AFTER_MS = 3_000;

    private CancelInOutage() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(args[0])); Site site = new Site(record)) {
            code = play(site, record, trouble) ? 0 : 1;
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(code);
    }

    /** Returns whether the rule held. */
    private static boolean play(Site site, Record record, boolean trouble) throws Exception {
        site.configure();
        site.startWorkers(WORKERS, STOP_MS);
        for (int i = 0; i < ENTRIES; i++) {
            site.start(site.addEntry("edge-" + (char) ('a' + i), 0.75));
        }
        for (Site.Entry entry : site.mEntries) {
            site.awaitReady(entry);
        }
        site.awaitOwner();
        Thread.sleep(3_000);
        List<String> broken = List.of();
        for (int round = 0; round < ROUNDS && broken.isEmpty(); round++) {
            playRound(site, record, trouble, round);
            broken = Verdict.twice(site.runs(), record.nowMs());
        }
        record.say(site.runs().size() + " starts, TWICE broken " + broken.size() + " times");
        broken.stream().limit(20).forEach(line -> record.say("TWICE " + line));
        broken.stream().skip(20).forEach(line -> record.line("TWICE " + line));
        return broken.isEmpty();
    }

    private static void playRound(Site site, Record record, boolean trouble, int round)
            throws Exception {
        String id = String.format("%016x", 0xc100 + round);
        Site.Entry owner = site.owner();
        Caller submitter = site.connect("c" + round, site.mEntries.get(round % ENTRIES));
        Caller.Response accepted = submitter.call("POST", Site.PREFIX + id,
                site.submission(id, COUNT, CPU, MEM_MB, WORK_MS));
        if (accepted.status() != 200) {
            throw new IllegalStateException("submission -> " + accepted.status());
        }
        long firstMs = firstStart(site, id);
        sleepUntil(record, firstMs + WORK_MS - OUTAGE_BEFORE_END_MS);
        long startMs = record.nowMs();
        if (trouble) {
            site.mStore.setMode(Store.Mode.SILENT, false);
        }
        sleepUntil(record, firstMs + WORK_MS - CANCEL_BEFORE_END_MS);
        Caller.Response cancelled = submitter.call("DELETE", Site.PREFIX + id, null);
        record.say("round " + round + ": cancellation -> " + cancelled.status());
        sleepUntil(record, startMs + OUTAGE_MS);
        if (trouble) {
            site.mStore.setMode(Store.Mode.SERVING, false);
        }
        Thread.sleep(AFTER_MS);
        Site.Entry next = site.owner();
        record.say("round " + round + ": owner " + owner.mName + " -> "
                + (next == null ? "none" : next.mName));
    }

    private static long firstStart(Site site, String id) throws InterruptedException {
        while (true) {
            for (Worker.Run run : site.runs()) {
                if (run.mTask.startsWith(id)) {
                    return run.mStartMs;
                }
            }
            Thread.sleep(5);
        }
    }

    private static void sleepUntil(Record record, long atMs) throws InterruptedException {
        Thread.sleep(Math.max(0, atMs - record.nowMs()));
    }
}
