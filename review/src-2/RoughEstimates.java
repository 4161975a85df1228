import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Submits two jobs whose work takes four times as long as their rough estimates say, and short jobs
 * beside them, and watches how long a short one has to wait.
 */
final class RoughEstimates {
    private static final String[] ROUGH = {"5c0e7a21d94b36f8", "5c0e7a21d94b36f9"};
    private static final int EXECUTORS = 8;
    private static final int ROUGH_CPU = 7_700;
    private static final int SHORT_CPU = 4_000;
    private static final long WORK_MS = 20_000;
    private static final int TIMES_AS_LONG = 4;
    private static final long SHORT_MS = 400;
    private static final long SHORT_INTERVAL_MS = 250;
    private static final long IDLE_MS = 3_000;
    private static final long WATCH_MS = 25_000;

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
        for (String id : ROUGH) {
            Map<String, Object> step = step(EXECUTORS, ROUGH_CPU, estimateMs);
            step.put("max_per_server", 1);
            if (site.submit(id, "cpu=" + ROUGH_CPU + " ms=" + WORK_MS, step).status() != 200) {
                return Deployment.NOT_RUN;
            }
        }
        Map<String, Long> acceptedMs = new HashMap<>();
        Http.start("short", () -> submitShort(site, acceptedMs));
        boolean broken = watch(fleet, acceptedMs);
        fleet.record(broken ? "BROKEN" : "HELD");
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }

    private static Map<String, Object> step(int count, int cpu, long estimateMs) {
        return Json.object("count", count, "cpu", cpu, "mem_mb", 4_096, "est_ms", estimateMs);
    }

    /** Submits short jobs one after the other. */
    private static void submitShort(Deployment site, Map<String, Long> acceptedMs) {
        int i = 0;
        for (long untilMs = Fleet.now() + WATCH_MS - 5_000; Fleet.now() < untilMs; i++) {
            String id = String.format("%016x", 0x1111111111110000L + i);
            Map<String, Object> step = step(1, SHORT_CPU, SHORT_MS);
            if (site.submit(id, "cpu=" + SHORT_CPU + " ms=" + SHORT_MS, step).status() == 200) {
                synchronized (site.mFleet) {
                    acceptedMs.put(id, Fleet.now());
                }
            }
            Fleet.sleep(SHORT_INTERVAL_MS);
        }
    }

    /**
     * Returns whether a short job has nothing running for 3 s on end, with under half of the
     * capacity in use and room for it on two executors all the while.
     */
    private static boolean watch(Fleet fleet, Map<String, Long> acceptedMs) {
        Map<String, Long> idleSinceMs = new HashMap<>();
        Map<String, Long> longestMs = new HashMap<>();
        long mostUsed = 0;
        for (long untilMs = Fleet.now() + WATCH_MS; Fleet.now() < untilMs; Fleet.sleep(20)) {
            synchronized (fleet) {
                long nowMs = Fleet.now();
                mostUsed = Math.max(mostUsed, used(fleet));
                for (String job : acceptedMs.keySet()) {
                    boolean started =
                            fleet.mStarts.stream().anyMatch(s -> s.task().startsWith(job + "."));
                    if (started || !hasRoom(fleet)) {
                        idleSinceMs.put(job, nowMs);
                    }
                    long idleMs = nowMs - idleSinceMs.computeIfAbsent(job, acceptedMs::get);
                    longestMs.merge(job, idleMs, Math::max);
                }
            }
        }
        long longest = longestMs.values().stream().mapToLong(x -> x).max().orElse(0);
        long late = longestMs.values().stream().filter(ms -> ms > IDLE_MS).count();
        fleet.record(
                "of " + longestMs.size() + " short jobs " + late + " waited for more than "
                        + IDLE_MS + " ms, the longest for ms=" + longest + "; most cpu in use "
                        + mostUsed + " of " + EXECUTORS * Executor.CPU);
        return late > 0;
    }

    private static long used(Fleet fleet) {
        return fleet.mExecutors.stream().mapToLong(RoughEstimates::used).sum();
    }

    private static long used(Executor executor) {
        return executor.mRuns.values().stream().mapToInt(r -> r.field("cpu")).sum();
    }

    /** Returns whether there is room twice over, and under half of the capacity is in use. */
    private static boolean hasRoom(Fleet fleet) {
        long withRoom =
                fleet.mExecutors.stream().filter(e -> used(e) + SHORT_CPU <= Executor.CPU).count();
        return withRoom >= 2 && 2 * used(fleet) < (long) EXECUTORS * Executor.CPU;
    }
}
