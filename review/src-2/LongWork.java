import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Submits a job whose work takes eight times as long as its rough estimate says, and a short one
 * beside it, and watches whether both have something running.
 */
final class LongWork {
    private static final String LONG = "5c0e7a21d94b36f8";
    private static final String SHORT = "1111111111111111";
    private static final int EXECUTORS = 8;
    private static final int LONG_CPU = 7_700;
    private static final int SHORT_CPU = 4_000;
    private static final long WORK_MS = 300_000;
    private static final int TIMES_AS_LONG = 8;
    private static final long SHORT_MS = 400;
    private static final long IDLE_MS = 3_000;
    private static final long WATCH_MS = 36_000;

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
        Fleet.sleep(4_000);
        long estimateMs = site.mTrouble ? WORK_MS / TIMES_AS_LONG : WORK_MS;
        Map<String, Object> step = step(EXECUTORS, LONG_CPU, estimateMs);
        step.put("max_per_server", 1);
        if (site.submit(LONG, "cpu=" + LONG_CPU + " ms=" + WORK_MS, step).status() != 200) {
            return Deployment.NOT_RUN;
        }
        Map<String, Long> acceptedMs = new HashMap<>();
        acceptedMs.put(LONG, Fleet.now());
        Http.start("short", () -> submitShort(site, acceptedMs));
        boolean broken = watch(fleet, acceptedMs);
        recordWork(fleet);
        fleet.record(broken ? "BROKEN" : "HELD");
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }

    private static Map<String, Object> step(int count, int cpu, long estimateMs) {
        return Json.object("count", count, "cpu", cpu, "mem_mb", 4_096, "est_ms", estimateMs);
    }

    /** Submits a short job in the first pause, when nothing of the long one runs. */
    private static void submitShort(Deployment site, Map<String, Long> acceptedMs) {
        long untilMs = Fleet.now() + WATCH_MS / 2;
        while (Fleet.now() < untilMs && site.mFleet.running(LONG) == 0) {
            Fleet.sleep(10);
        }
        while (Fleet.now() < untilMs && site.mFleet.running(LONG) > 0) {
            Fleet.sleep(10);
        }
        Map<String, Object> step = step(1, SHORT_CPU, SHORT_MS);
        if (site.submit(SHORT, "cpu=" + SHORT_CPU + " ms=" + SHORT_MS, step).status() == 200) {
            synchronized (site.mFleet) {
                acceptedMs.put(SHORT, Fleet.now());
            }
        }
    }

    /**
     * Returns whether a job that is not done has nothing running for 3 s on end, with under half of
     * the capacity in use and room for a work item of it on two executors all the while.
     */
    private static boolean watch(Fleet fleet, Map<String, Long> acceptedMs) {
        Map<String, Long> idleSinceMs = new HashMap<>();
        Map<String, Long> longestMs = new HashMap<>();
        for (long untilMs = Fleet.now() + WATCH_MS; Fleet.now() < untilMs; Fleet.sleep(20)) {
            synchronized (fleet) {
                long nowMs = Fleet.now();
                for (String job : acceptedMs.keySet()) {
                    boolean waits = fleet.running(job) == 0 && !isDone(fleet, job);
                    if (!waits || !hasRoom(fleet, job.equals(LONG) ? LONG_CPU : SHORT_CPU)) {
                        idleSinceMs.put(job, nowMs);
                    }
                    long idleMs =
                            nowMs - idleSinceMs.computeIfAbsent(job, j -> acceptedMs.get(j));
                    longestMs.merge(job, idleMs, Math::max);
                }
            }
        }
        List<String> broken = new ArrayList<>();
        longestMs.forEach(
                (job, ms) -> {
                    if (ms > IDLE_MS) {
                        broken.add(job);
                        fleet.record("job " + job + " had nothing running for ms=" + ms);
                    }
                });
        fleet.record(
                "longest time with nothing running: the long job "
                        + longestMs.remove(LONG) + " ms, a short job "
                        + longestMs.values().stream().mapToLong(x -> x).max().orElse(0) + " ms");
        return !broken.isEmpty();
    }

    /** Records how much of the long job is done, and how often it was stopped. */
    private static void recordWork(Fleet fleet) {
        synchronized (fleet) {
            long nowMs = Fleet.now();
            for (Executor executor : fleet.mExecutors) {
                executor.mRuns.values().stream()
                        .filter(r -> r.task.startsWith(LONG + "."))
                        .forEach(
                                r ->
                                        fleet.record(
                                                "work done of " + r.task + ": "
                                                        + 100 * r.workMs(nowMs) / WORK_MS
                                                        + " percent in run " + r.number));
            }
            long stops =
                    fleet.mEnds.stream()
                            .filter(e -> e.task().startsWith(LONG + "."))
                            .filter(e -> e.how().equals("stopped"))
                            .count();
            fleet.record("runs of the long job that were stopped: " + stops);
        }
    }

    private static boolean isDone(Fleet fleet, String job) {
        int count = job.equals(LONG) ? EXECUTORS : 1;
        return fleet.mEnds.stream()
                        .filter(e -> e.task().startsWith(job + ".") && e.how().equals("done"))
                        .count()
                >= count;
    }

    /** Returns whether there is room twice over, and under half of the capacity is in use. */
    private static boolean hasRoom(Fleet fleet, int cpu) {
        long usedTotal = 0;
        int withRoom = 0;
        for (Executor executor : fleet.mExecutors) {
            long used = executor.mRuns.values().stream().mapToInt(r -> r.field("cpu")).sum();
            usedTotal += used;
            withRoom += used + cpu <= Executor.CPU ? 1 : 0;
        }
        return withRoom >= 2 && 2 * usedTotal < (long) EXECUTORS * Executor.CPU;
    }
}
