import java.nio.file.Path;

/** Replaces a route by another one for the same prefix, then asks for and cancels earlier jobs. */
final class RouteReplaced {
    private static final String BATCH = "5c0e7a21d94b36f8";
    private static final String SERVICE = "6d1f8b32ea5c47a9";
    private static final long CONFIG_APPLY_MS = 2_000;
    private static final long VISIBLE_MS = 3_000;
    private static final long CANCEL_MS = 3_000;
    private static final long KILL_MS = 400;

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
        site.submit(
                BATCH,
                "cpu=4000 ms=25000",
                Json.object("count", 2, "cpu", 4_000, "mem_mb", 512, "est_ms", 25_000));
        site.submit(
                SERVICE,
                "cpu=5000",
                Json.object(
                        "count", 3, "cpu", 5_000, "mem_mb", 512, "est_ms", 500, "service_job",
                        true));
        if (!site.awaitState(BATCH, "running", 10_000)
                || !site.awaitState(SERVICE, "running", 10_000)) {
            return Deployment.NOT_RUN;
        }
        if (site.mTrouble) {
            site.writeConfiguration(2, "r-bkf83fg");
        }
        Fleet.sleep(CONFIG_APPLY_MS + VISIBLE_MS);
        int status = site.call("GET", BATCH, "").status();
        boolean lost = status == 410;
        fleet.record("LOST " + (lost ? "broken" : "held") + ": GET gave " + status + " while "
                + fleet.running(BATCH) + " of 2 work items run");
        int cancelled = site.call("DELETE", SERVICE, "").status();
        Fleet.sleep(CANCEL_MS + KILL_MS + 200);
        long running = fleet.running(SERVICE);
        boolean unasked = (cancelled == 200 || cancelled == 410) && running > 0;
        fleet.record("UNASKED " + (unasked ? "broken" : "held") + ": DELETE gave " + cancelled
                + " and " + running + " of 3 work items run on");
        awaitEnds(fleet);
        fleet.record("all work items have ended done; the state is now " + site.state(BATCH));
        return lost || unasked ? Deployment.BROKEN : Deployment.HELD;
    }

    /** Waits until the two work items of the other job have ended. */
    private static void awaitEnds(Fleet fleet) {
        for (long untilMs = Fleet.now() + 40_000; Fleet.now() < untilMs; Fleet.sleep(100)) {
            synchronized (fleet) {
                if (fleet.mEnds.stream().filter(e -> e.task().startsWith(BATCH)).count() >= 2) {
                    break;
                }
            }
        }
        Fleet.sleep(1_000);
    }
}
