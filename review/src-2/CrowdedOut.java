import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Lets a tenant hand in more than its cap allows to run, in a queue with a hint, and watches whether
 * another tenant's job is started.
 */
final class CrowdedOut {
    private static final String OTHER_KEY = "jbvk9m68k7b2ex5wa5xw";
    private static final String OTHER_JOB = "5c0e7a21d94b36f8";
    private static final int CAP_CPU = 40_000;
    private static final int ITEM_CPU = 4_000;
    private static final int RUNNING = CAP_CPU / ITEM_CPU;
    private static final int WAITING = 30;
    private static final long WORK_MS = 30_000;
    private static final long OTHER_MS = 1_000;
    private static final long IDLE_MS = 3_000;

    /** Keeps the tenant within its weight, which is 24 submissions a second. */
    private static final long SUBMIT_INTERVAL_MS = 60;

    public static void main(String[] args) throws Exception {
        int code = Deployment.NOT_RUN;
        try (Deployment site = new Deployment(Path.of(args[0]), 3, 8)) {
            code = play(site);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int play(Deployment site) {
        Fleet fleet = site.mFleet;
        writeConfiguration(site);
        Fleet.sleep(2_500);
        synchronized (fleet) {
            fleet.mTicketed.add(OTHER_JOB);
        }
        int jobs = site.mTrouble ? RUNNING + WAITING : RUNNING;
        int accepted = 0;
        for (int i = 0; i < jobs; i++) {
            String id = String.format("%016x", 0x1111111111110000L + i);
            synchronized (fleet) {
                fleet.mTicketed.add(id);
            }
            accepted += submit(site, Deployment.KEY, id, WORK_MS) ? 1 : 0;
            Fleet.sleep(SUBMIT_INTERVAL_MS);
        }
        for (int i = 0; i < 200 && running(fleet) < RUNNING; i++) {
            Fleet.sleep(50);
        }
        fleet.record("accepted " + accepted + ", running " + running(fleet));
        if (accepted < jobs || running(fleet) < RUNNING) {
            return Deployment.NOT_RUN;
        }
        Fleet.sleep(4_000);
        if (!submit(site, OTHER_KEY, OTHER_JOB, OTHER_MS)) {
            return Deployment.NOT_RUN;
        }
        long acceptedMs = Fleet.now();
        while (Fleet.now() < acceptedMs + 12_000 && !isStarted(fleet)) {
            Fleet.sleep(10);
        }
        long waitedMs = Fleet.now() - acceptedMs;
        boolean broken = waitedMs > IDLE_MS;
        fleet.record(
                "the other tenant's job waited for ms=" + waitedMs + ", started "
                        + isStarted(fleet));
        fleet.record(broken ? "BROKEN" : "HELD");
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }

    private static void writeConfiguration(Deployment site) {
        Map<String, Object> hint =
                Json.object(
                        "decide_ms", Fleet.DECIDE_MS, "each_ms", Fleet.EACH_MS, "valid_ms",
                        Fleet.TICKET_MS);
        Map<String, Object> queue =
                Json.object(
                        "name", "r-4jcda9r", "host", Deployment.HOST, "prefix", Deployment.PREFIX,
                        "kind", "mutating", "timeout_ms", 3_000, "slo_ms", 600, "prio", 1,
                        "service", Deployment.SERVICE, "attempts", 2, "extension", 1.6, "public",
                        false, "hint", hint);
        Map<String, Object> service =
                Json.object("name", Deployment.SERVICE, "enforces_capacity", true);
        site.mStore.write(
                "op/config",
                Json.object(
                        "version", 2, "routes", List.of(queue), "services", List.of(service),
                        "tenants",
                        List.of(
                                tenant("cugo130", Deployment.KEY, CAP_CPU),
                                tenant("denu47", OTHER_KEY, 10 * CAP_CPU)),
                        "limits", Json.object()));
        site.mFleet.record("configuration 2 with a hint and two tenants acknowledged");
    }

    private static Map<String, Object> tenant(String name, String key, int cpu) {
        return Json.object(
                "name", name, "api_keys", List.of(key), "weight", 24, "cap",
                Json.object("cpu", cpu, "mem_mb", 2_606_127, "gpu", 0));
    }

    private static boolean submit(Deployment site, String key, String id, long ms) {
        Map<String, Object> step =
                Json.object("count", 1, "cpu", ITEM_CPU, "mem_mb", 4_096, "est_ms", ms);
        String body =
                Json.write(
                        Json.object(
                                "spec", "cpu=" + ITEM_CPU + " ms=" + ms, "phases", List.of(step)));
        return site.callAt(0, key, "POST", id, body).status() == 200;
    }

    private static long running(Fleet fleet) {
        synchronized (fleet) {
            return fleet.mExecutors.stream().mapToLong(e -> e.mRuns.size()).sum();
        }
    }

    private static boolean isStarted(Fleet fleet) {
        synchronized (fleet) {
            return fleet.mStarts.stream().anyMatch(s -> s.task().startsWith(OTHER_JOB + "."));
        }
    }
}
