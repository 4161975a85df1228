import java.nio.file.Path;

/**
 * Freezes an entry that does not own the scheduling, submits a job there, and cancels it at another
 * entry once the time of the requester is over.
 */
final class LateSubmission {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final long FREEZE_MS = 3_500;
    private static final long WORK_MS = 4_000;
    private static final long CANCEL_MS = 3_000;
    private static final int ENTRIES = 8;

    public static void main(String[] args) throws Exception {
        int code = Deployment.NOT_RUN;
        try (Deployment site = new Deployment(Path.of(args[0]), ENTRIES, 8)) {
            code = play(site);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int play(Deployment site) throws Exception {
        Fleet fleet = site.mFleet;
        Fleet.sleep(2_000);
        int owner = site.ownerIndex();
        if (owner < 0) {
            return Deployment.NOT_RUN;
        }
        int frozen = (owner + 1) % ENTRIES;
        if (site.mTrouble) {
            freeze(site, frozen);
        }
        String body =
                Json.write(
                        Json.object(
                                "spec", "cpu=4000 ms=" + WORK_MS, "phases",
                                java.util.List.of(step(), withDependency(step()))));
        Http.Response submitted = site.callAt(frozen, "POST", JOB, body);
        Http.Response cancelled = site.callAt((owner + 2) % ENTRIES, "DELETE", JOB, "");
        long cancelledMs = Fleet.now();
        boolean acknowledged = cancelled.status() == 200 || cancelled.status() == 410;
        if (!acknowledged || site.mTrouble != (submitted.status() == 0)) {
            return Deployment.NOT_RUN;
        }
        Fleet.sleep(CANCEL_MS + 3 * WORK_MS);
        site.state(JOB);
        return judge(fleet, cancelledMs);
    }

    private static java.util.Map<String, Object> step() {
        return Json.object("count", 1, "cpu", 4_000, "mem_mb", 512, "est_ms", WORK_MS);
    }

    private static java.util.Map<String, Object> withDependency(java.util.Map<String, Object> step) {
        step.put("after", java.util.List.of(0));
        return step;
    }

    /** Stops the process of an entry for some seconds. */
    private static void freeze(Deployment site, int entry) throws Exception {
        site.mFleet.record("freeze of entry " + (entry + 1) + " for ms=" + FREEZE_MS);
        site.signal(entry, "STOP");
        Http.start(
                "thaw",
                () -> {
                    Fleet.sleep(FREEZE_MS);
                    site.mFleet.record("thaw of entry " + (entry + 1));
                    site.signal(entry, "CONT");
                });
    }

    private static int judge(Fleet fleet, long cancelledMs) {
        boolean broken;
        synchronized (fleet) {
            broken =
                    fleet.mStarts.stream().anyMatch(s -> s.atMs() > cancelledMs + CANCEL_MS);
        }
        fleet.record(
                (broken ? "BROKEN: a work item was started" : "HELD: no work item was started")
                        + " later than " + (cancelledMs + CANCEL_MS));
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }
}
