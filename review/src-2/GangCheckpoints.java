import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Crashes the executor of one member of a gang, and compares the checkpoints of the next run. */
final class GangCheckpoints {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String MEMBER = JOB + ".0.0.0";
    private static final int MEMBERS = 3;

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
        Map<String, Object> step =
                Json.object(
                        "count", MEMBERS, "cpu", 40_000, "mem_mb", 4_096, "est_ms", 9_000,
                        "checkpoint", true, "gang", true);
        String spec = "cpu=40000 ms=9000 gang=" + MEMBERS + " save=500";
        if (site.submit(JOB, spec, step).status() != 200) {
            return Deployment.NOT_RUN;
        }
        if (site.mTrouble && !crashAfterFourthCheckpoint(site.mFleet)) {
            return Deployment.NOT_RUN;
        }
        boolean done = site.awaitState(JOB, "done", 60_000);
        site.mFleet.record("shown as done: " + done);
        return judge(site.mFleet, done);
    }

    /** Crashes the executor of the first member shortly after the gang's fourth checkpoint. */
    private static boolean crashAfterFourthCheckpoint(Fleet fleet) {
        for (long untilMs = Fleet.now() + 20_000; Fleet.now() < untilMs; Fleet.sleep(2)) {
            synchronized (fleet) {
                Executor executor = fleet.executorOf(MEMBER);
                if (executor != null && executor.mRuns.get(MEMBER).checkpoint.endsWith("-4")) {
                    fleet.crash(executor);
                    return true;
                }
            }
        }
        return false;
    }

    private static int judge(Fleet fleet, boolean done) {
        Map<Integer, Set<String>> checkpoints = new HashMap<>();
        synchronized (fleet) {
            for (Fleet.Start start : fleet.mStarts) {
                checkpoints
                        .computeIfAbsent(start.run(), run -> new TreeSet<>())
                        .add(start.checkpoint());
            }
        }
        checkpoints.forEach(
                (run, values) -> fleet.record("run " + run + " was started from " + values));
        boolean same = checkpoints.values().stream().allMatch(values -> values.size() == 1);
        fleet.record(same ? "HELD" : "BROKEN: members of one run carry different checkpoints");
        if (!done && same) {
            return Deployment.NOT_RUN;
        }
        return same ? Deployment.HELD : Deployment.BROKEN;
    }
}
