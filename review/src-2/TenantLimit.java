import java.nio.file.Path;

/**
 * Cuts the executor off on which a tenant runs as much as its cap allows, and stops the entry that
 * owns the scheduling.
 */
final class TenantLimit {
    private static final int CAP_CPU = 40_000;
    private static final int ITEM_CPU = 4_000;
    private static final int JOBS = 20;
    private static final double OVERRUN = 0.1;
    private static final long CUT_MS = 5_500;
    private static final long WORK_MS = 8_000;

    public static void main(String[] args) throws Exception {
        int code = Deployment.NOT_RUN;
        try (Deployment site = new Deployment(Path.of(args[0]), 3, 8, CAP_CPU)) {
            code = play(site);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int play(Deployment site) throws Exception {
        Fleet fleet = site.mFleet;
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", 0x5c0e7a21d94b3600L + i);
            site.submit(
                    id,
                    "cpu=" + ITEM_CPU + " ms=" + WORK_MS,
                    Json.object(
                            "count", 2, "cpu", ITEM_CPU, "mem_mb", 512, "est_ms", WORK_MS));
        }
        for (int i = 0; used(fleet) < CAP_CPU && i < 100; i++) {
            Fleet.sleep(50);
        }
        if (used(fleet) < CAP_CPU) {
            return Deployment.NOT_RUN;
        }
        if (site.mTrouble) {
            Process owner = site.owner();
            if (owner == null) {
                return Deployment.NOT_RUN;
            }
            synchronized (fleet) {
                fleet.mExecutors.stream()
                        .filter(e -> !e.mRuns.isEmpty())
                        .findFirst()
                        .orElseThrow()
                        .cut(CUT_MS);
            }
            Fleet.sleep(300);
            fleet.record("SIGTERM of the owner, process " + owner.pid());
            owner.destroy();
        }
        return watch(fleet) ? Deployment.BROKEN : Deployment.HELD;
    }

    private static long used(Fleet fleet) {
        synchronized (fleet) {
            return fleet.mExecutors.stream()
                    .flatMap(e -> e.mRuns.values().stream())
                    .mapToLong(r -> r.field("cpu"))
                    .sum();
        }
    }

    /** Returns whether the tenant runs more than its cap, its overrun and one work item. */
    private static boolean watch(Fleet fleet) {
        long limit = (long) (CAP_CPU * (1 + OVERRUN)) + ITEM_CPU;
        long most = 0;
        for (long untilMs = Fleet.now() + 20_000; Fleet.now() < untilMs; Fleet.sleep(2)) {
            most = Math.max(most, used(fleet));
        }
        fleet.record("most that ran: " + most + " of a cap of " + CAP_CPU + ", limit " + limit);
        fleet.record(most > limit ? "BROKEN" : "HELD");
        return most > limit;
    }
}
