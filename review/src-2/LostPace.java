import java.nio.file.Path;

/** Fails the first order that pauses a filling work item, and watches the tail beside it. */
final class LostPace {
    private static final String SERVING = "5c0e7a21d94b36f8";
    private static final String FILLING = "6d1f8b32ea5c47a9";
    private static final int EXECUTORS = 8;
    private static final long GOAL_MS = 100;
    private static final long FAULTY_MS = 2_000;
    private static final long STABLE_MS = 3_000;
    private static final long VIOLATION_MS = 4_000;

    public static void main(String[] args) throws Exception {
        int code = Deployment.NOT_RUN;
        try (Deployment site = new Deployment(Path.of(args[0]), 3, EXECUTORS)) {
            code = play(site);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int play(Deployment site) {
        Fleet fleet = site.mFleet;
        site.submit(
                SERVING,
                "cpu=5000 serve=1",
                Json.object(
                        "count", EXECUTORS, "cpu", 5_000, "mem_mb", 512, "est_ms", 500,
                        "service_job", true, "max_per_server", 1, "image", "web", "goal_ms",
                        GOAL_MS));
        if (!site.awaitState(SERVING, "running", 10_000)) {
            return Deployment.NOT_RUN;
        }
        Fleet.sleep(3_000);
        site.submit(
                FILLING,
                "cpu=20000 fill=1",
                Json.object(
                        "count", 1, "cpu", 20_000, "mem_mb", 512, "est_ms", 500, "service_job",
                        true, "image", "batch", "fills", true));
        Executor executor = awaitExecutor(fleet);
        if (executor == null) {
            return Deployment.NOT_RUN;
        }
        if (site.mTrouble) {
            synchronized (fleet) {
                executor.mFaultyUntilMs = Fleet.now() + FAULTY_MS;
            }
        }
        Fleet.sleep(FAULTY_MS + STABLE_MS);
        return watch(fleet, executor) ? Deployment.BROKEN : Deployment.HELD;
    }

    /** Returns the executor of the filling work item; null if it isn't started. */
    private static Executor awaitExecutor(Fleet fleet) {
        Executor executor = null;
        for (int i = 0; executor == null && i < 1_000; i++) {
            executor = fleet.executorOf(FILLING + ".0.0.0");
            Fleet.sleep(executor == null ? 2 : 0);
        }
        return executor;
    }

    /** Returns whether the tail is over the goal for too long because of what fills beside it. */
    private static boolean watch(Fleet fleet, Executor executor) {
        long underMs = Fleet.now();
        for (long untilMs = Fleet.now() + 12_000; Fleet.now() < untilMs; Fleet.sleep(50)) {
            long tailMs;
            synchronized (fleet) {
                tailMs = executor.tailMs();
            }
            underMs = tailMs > GOAL_MS ? underMs : Fleet.now();
            if (Fleet.now() - underMs > VIOLATION_MS) {
                fleet.record("BROKEN: tail of " + tailMs + " ms on " + executor.mId + " since "
                        + underMs + ", goal " + GOAL_MS);
                return true;
            }
        }
        fleet.record("HELD");
        return false;
    }
}
