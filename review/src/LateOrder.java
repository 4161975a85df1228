import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The owner is cut off from the platform during a maintenance wave. */
public final class LateOrder {
    private static final int ENTRIES = 3;
    private static final int WORKERS = 4;
    private static final int STOP_MS = 100;
    private static final long WORK_MS = 2_000;
    private static final long WAVE_BEFORE_END_MS = 800;
    private static final long CUT_BEFORE_END_MS = 300;
    private static final long CUT_MS = 5_500;
    private static final long AFTER_MS = 8_000;

    private LateOrder() {}

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
        Caller caller = site.connect("c1", owner);
        // A work item of 60 cores for each executor of 64.
        String id = "00000000000000a1";
        Caller.Response accepted = caller.call("POST", Site.PREFIX + id,
                site.submission(id, WORKERS, 60_000, 1_000, WORK_MS));
        if (accepted.status() != 200) {
            throw new IllegalStateException("submission -> " + accepted.status());
        }
        while (site.runs().size() < WORKERS) {
            Thread.sleep(5);
        }
        long endMs = site.runs().get(0).mStartMs + WORK_MS;
        sleepUntil(record, endMs - WAVE_BEFORE_END_MS);
        ObjectNode wave = Http.object().put("wave", 1)
                .put("within_s", 26.0).put("cap", 2);
        wave.putArray("machines").add("m-1").add("m-2");
        record.say("operator: wave 1 of m-1 and m-2, cap 2");
        site.mStore.put("op/wave/1", wave);
        sleepUntil(record, endMs - CUT_BEFORE_END_MS);
        if (trouble) {
            record.say("entry " + owner.mName + " is cut off from the platform");
            owner.mToStore.setCut(true);
            owner.mToCloud.setCut(true);
        }
        Thread.sleep(CUT_MS);
        if (trouble) {
            record.say("entry " + owner.mName + " reaches the platform again");
            owner.mToStore.setCut(false);
            owner.mToCloud.setCut(false);
        }
        Thread.sleep(AFTER_MS);
        record.say("wave: " + site.mStore.text("status/wave/1"));
        return check(site, record);
    }

    /** Checks that no order for a machine has a lower fence than one before it. */
    private static boolean check(Site site, Record record) {
        boolean held = true;
        Map<String, Site.HostOrder> highest = new HashMap<>();
        List<Site.HostOrder> orders;
        synchronized (site.mOrders) {
            orders = new ArrayList<>(site.mOrders);
        }
        for (Site.HostOrder order : orders) {
            Site.HostOrder before = highest.get(order.machine());
            if (before != null && order.fence() < before.fence()) {
                held = false;
                record.say("ONE " + order.machine() + ": order of " + order.holder() + " fence="
                        + order.fence() + " at " + order.atMs() + " after one of "
                        + before.holder() + " fence=" + before.fence() + " at " + before.atMs());
            }
            if (before == null || order.fence() > before.fence()) {
                highest.put(order.machine(), order);
            }
        }
        record.say(orders.size() + " orders for machines");
        return held;
    }

    private static void sleepUntil(Record record, long atMs) throws InterruptedException {
        Thread.sleep(Math.max(0, atMs - record.nowMs()));
    }
}
