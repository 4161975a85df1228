import java.nio.file.Path;
import java.util.List;

/** An executor loses power and starts again under its id while the store is slow. */
public final class QuickRestart {
    private static final int ENTRIES = 3;
    private static final int WORKERS = 8;
    private static final int STOP_MS = 100;
    private static final int SLOWNESS = 60;
    private static final long DARK_MS = 400;
    private static final int CPU = 2_000;
    private static final int MEM_MB = 256;
    private static final long LONG_WORK_MS = 20_000;
    private static final long WORK_MS = 3_000;
    private static final int LONG_COUNT = 4;
    private static final int COUNT = 20;
    private static final long SLOW_MS = 4_500;
    private static final long AFTER_MS = 9_000;

    private QuickRestart() {}

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
        Caller caller = site.connect("c1", site.mEntries.get(0));
        submit(site, caller, 0xe100, LONG_COUNT, LONG_WORK_MS);
        Thread.sleep(1_500);
        String busy = site.runs().get(0).mExecutor;
        Worker worker = site.mWorkers.stream().filter(w -> w.mId.equals(busy)).findFirst()
                .orElseThrow();
        long startMs = record.nowMs();
        if (trouble) {
            site.mStore.setSlowness(SLOWNESS);
            Thread.sleep(300);
            long lastPollMs = worker.lastLongPollMs();
            while (worker.lastLongPollMs() == lastPollMs) {
                Thread.sleep(1);
            }
            Thread.sleep(20);
            worker.losePower();
        }
        Thread submitter = new Thread(() -> {
            for (int i = 0; i < 8; i++) {
                submit(site, caller, 0xe200 + i, COUNT / 4, WORK_MS);
            }
        });
        Thread.sleep(DARK_MS - 200);
        submitter.start();
        Thread.sleep(200);
        if (trouble) {
            worker.startAgain();
        }
        Thread.sleep(Math.max(0, startMs + SLOW_MS - record.nowMs()));
        if (trouble) {
            site.mStore.setSlowness(1);
        }
        Thread.sleep(AFTER_MS);
        List<String> broken = Verdict.twice(site.runs(), record.nowMs());
        record.say(site.runs().size() + " starts, TWICE broken " + broken.size() + " times");
        broken.stream().limit(20).forEach(line -> record.say("TWICE " + line));
        return broken.isEmpty();
    }

    private static void submit(Site site, Caller caller, int number, int count, long workMs) {
        String id = String.format("%016x", number);
        caller.call("POST", Site.PREFIX + id,
                site.submission(id, count, CPU, MEM_MB, workMs));
    }
}
