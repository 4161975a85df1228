import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A full pool of short work items while the store is down: see the claim beside run.sh. */
public final class ManyEnds {
    private static final int ENTRIES = 3;
    private static final int WORKERS = 2;
    private static final int STOP_MS = 100;
    private static final int CPU = 500;
    private static final int MEM_MB = 256;
    private static final long WORK_MS = 640;
    private static final int CALLERS = 6;
    private static final int JOBS_PER_CALLER = 20;
    private static final int JOBS = CALLERS * JOBS_PER_CALLER;
    private static final int COUNT = 20;
    private static final int OUTAGE_MS = 4_500;
    private static final int AFTER_MS = 12_000;

    private ManyEnds() {}

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
        Site.Entry owner = site.awaitOwner();
        Thread.sleep(3_000);
        AtomicInteger accepted = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            Thread caller = new Thread(() -> submitAll(site, number, accepted));
            caller.start();
            callers.add(caller);
        }
        for (Thread caller : callers) {
            caller.join();
        }
        record.say(accepted.get() + " of " + JOBS + " submissions accepted, owner " + owner.mName);
        Thread.sleep(300);
        if (trouble) {
            site.mStore.setMode(Store.Mode.SILENT, true);
        }
        Thread.sleep(OUTAGE_MS);
        if (trouble) {
            site.mStore.setMode(Store.Mode.SERVING, true);
        }
        Thread.sleep(AFTER_MS);
        List<Worker.Run> runs = site.runs();
        List<String> broken = Verdict.twice(runs, record.nowMs());
        long done = runs.stream().filter(r -> r.mHow.equals("done")).map(r -> r.mTask).distinct()
                .count();
        record.say(runs.size() + " starts, " + done + " of " + accepted.get() * COUNT
                + " work items done, TWICE broken " + broken.size() + " times");
        broken.stream().limit(20).forEach(line -> record.say("TWICE " + line));
        broken.stream().skip(20).forEach(line -> record.line("TWICE " + line));
        return broken.isEmpty();
    }

    private static void submitAll(Site site, int number, AtomicInteger accepted) {
        try (Caller caller = site.connect("c" + number, site.mEntries.get(number % ENTRIES))) {
            for (int i = 0; i < JOBS_PER_CALLER; i++) {
                String id = String.format("%016x", 0xa100 + number * JOBS_PER_CALLER + i);
                Caller.Response response = caller.call("POST", Site.PREFIX + id,
                        site.submission(id, COUNT, CPU, MEM_MB, WORK_MS));
                accepted.addAndGet(response.status() == 200 ? 1 : 0);
            }
        } catch (IOException e) {
            site.mRecord.say("caller " + number + " failed: " + e);
        }
    }
}
