import java.nio.file.Path;

/** Leaves one order to start a member of a gang unanswered, and watches whether the gang starts. */
final class GangWaits {
    private static final String SHORT = "1111111111111111";
    private static final String GANG = "5c0e7a21d94b36f8";
    private static final String LONG = "2222222222222222";
    private static final long CALM_MS = 4_000;
    private static final long IDLE_MS = 3_000;
    private static final int MEMBER_CPU = 40_000;
    private static final int MEMBERS = 2;

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
        long[] heldMs = new long[1];
        synchronized (fleet) {
            fleet.mHoldsStart =
                    (executor, body) -> {
                        boolean holds =
                                site.mTrouble
                                        && heldMs[0] == 0
                                        && Json.text(body, "task").equals(GANG + ".0.0.1");
                        heldMs[0] = holds ? Fleet.now() : heldMs[0];
                        return holds;
                    };
        }
        site.submit(SHORT, "cpu=4000 ms=2500", step(1, 4_000, 2_500, false));
        Fleet.sleep(1_000);
        site.submit(GANG, "cpu=40000 ms=2000 gang=2", step(MEMBERS, MEMBER_CPU, 2_000, true));
        Fleet.sleep(1_000);
        site.submit(LONG, "cpu=24000 ms=20000", step(1, 24_000, 20_000, false));
        if (site.mTrouble && heldMs[0] == 0) {
            return Deployment.NOT_RUN;
        }
        long calmMs = (site.mTrouble ? heldMs[0] + fleet.mStartDelayMs : Fleet.now()) + 100;
        boolean broken = watch(site, calmMs + CALM_MS);
        boolean done = site.awaitState(GANG, "done", 40_000);
        fleet.record("the gang is shown as done: " + done);
        fleet.record(broken ? "BROKEN" : "HELD");
        if (!broken && !done) {
            return Deployment.NOT_RUN;
        }
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }

    private static java.util.Map<String, Object> step(int count, int cpu, int ms, boolean gang) {
        return Json.object(
                "count", count, "cpu", cpu, "mem_mb", 4_096, "est_ms", ms, "gang", gang);
    }

    /** Returns whether the gang has nothing running for 3 s on end although there is room. */
    private static boolean watch(Deployment site, long fromMs) {
        Fleet fleet = site.mFleet;
        Fleet.sleep(fromMs - Fleet.now());
        long idleSinceMs = Fleet.now();
        for (long untilMs = Fleet.now() + 12_000; Fleet.now() < untilMs; Fleet.sleep(20)) {
            if (fleet.running(GANG) > 0 || isDone(fleet) || freeExecutors(fleet) < 2 * MEMBERS) {
                idleSinceMs = Fleet.now();
            }
            if (Fleet.now() - idleSinceMs > IDLE_MS) {
                fleet.record(
                        "nothing of the gang runs since " + idleSinceMs + ", "
                                + freeExecutors(fleet) + " executors have room for a member");
                return true;
            }
            if (isDone(fleet)) {
                return false;
            }
        }
        return false;
    }

    private static boolean isDone(Fleet fleet) {
        synchronized (fleet) {
            return fleet.mEnds.stream()
                    .anyMatch(e -> e.task().startsWith(GANG) && e.how().equals("done"));
        }
    }

    private static long freeExecutors(Fleet fleet) {
        synchronized (fleet) {
            return fleet.mExecutors.stream()
                    .filter(Executor::isUp)
                    .filter(
                            e ->
                                    e.mRuns.values().stream().mapToInt(r -> r.field("cpu")).sum()
                                                    + MEMBER_CPU
                                            <= Executor.CPU)
                    .count();
        }
    }
}
