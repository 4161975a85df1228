import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/** A submission is cancelled while its record is on the way to a store that is down. */
public final class LostCancel {
    private static final int ENTRIES = 3;
    private static final int WORKERS = 2;
    private static final int STOP_MS = 100;
    private static final long OUTAGE_MS = 4_500;
    private static final long SUBMIT_AFTER_MS = 100;
    private static final long FIRST_STEP_MS = 5_000;
    private static final long SECOND_STEP_MS = 500;
    private static final long CANCEL_BOUND_MS = 3_000;
    private static final long STABLE_MS = 3_000;
    private static final String ID = "00000000000000b1";

    private LostCancel() {}

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
        Caller second = site.connect("c1", site.mEntries.get(1));
        long startMs = record.nowMs();
        if (trouble) {
            site.mStore.setMode(Store.Mode.SILENT, true);
        }
        sleepUntil(record, startMs + SUBMIT_AFTER_MS);
        ObjectNode body = Http.object().put("spec", "ms=" + FIRST_STEP_MS);
        ObjectNode next = Site.step(1, 1_000, 256, SECOND_STEP_MS);
        next.putArray("after").add(0);
        body.putArray("phases").add(Site.step(1, 1_000, 256, FIRST_STEP_MS)).add(next);
        Caller.Response submitted = caller.call("POST", Site.PREFIX + ID, body);
        record.say("submission -> " + submitted.status() + " " + submitted.body());
        Caller.Response cancelled = second.call("DELETE", Site.PREFIX + ID, null);
        long cancelledMs = record.nowMs();
        record.say("cancellation -> " + cancelled.status() + " at " + cancelledMs);
        sleepUntil(record, startMs + OUTAGE_MS);
        if (trouble) {
            site.mStore.setMode(Store.Mode.SERVING, true);
        }
        // Machines are in touch again this long after the store is back.
        long inTouchMs = trouble ? record.nowMs() + STABLE_MS : 0;
        sleepUntil(record, startMs + OUTAGE_MS + FIRST_STEP_MS + 4_000);
        record.say("state -> " + caller.call("GET", Site.PREFIX + ID, null).body());
        boolean acknowledged = cancelled.status() / 100 == 2 || cancelled.status() == 410;
        boolean held = true;
        for (Worker.Run run : site.runs()) {
            boolean late = run.mStartMs > cancelledMs + CANCEL_BOUND_MS;
            if (acknowledged && late && run.mStartMs > inTouchMs) {
                held = false;
                record.say("UNASKED " + run.mTask + " started at " + run.mStartMs + ", "
                        + (run.mStartMs - cancelledMs)
                        + " ms after the cancellation was acknowledged");
            }
        }
        return held;
    }

    private static void sleepUntil(Record record, long atMs) throws InterruptedException {
        Thread.sleep(Math.max(0, atMs - record.nowMs()));
    }
}
