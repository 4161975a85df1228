import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One life of an executor: runs work items under a lease, as the pages say. */
final class Executor {
    /** A run in progress. */
    static final class Run {
        String task;
        int run;
        Task kind;
        long startedMs;
        long beganMs = -1;
        long savedBeforeMs;
        String checkpoint = "";
        long stopAtMs = -1;
        String stopReason;

        String step() {
            return task.substring(0, task.lastIndexOf('.'));
        }

        /** Returns the work that is done, in milliseconds, with what an earlier run has saved. */
        long workedMs(long nowMs) {
            return beganMs < 0 ? savedBeforeMs : savedBeforeMs + Math.max(0, nowMs - beganMs);
        }
    }

    private record End(long number, String task, int run, String how, String saved) {}

    static final int STARTUP_MS = 500;

    /** Members of a gang that end together save the same string. */
    private static final long SAVE_UNIT_MS = 100;

    final Site site;
    final String id;
    final String machine;
    final int cpu;
    final boolean guards;
    final long born = System.currentTimeMillis();
    final Map<String, Run> running = new TreeMap<>();
    private final List<End> ends = new ArrayList<>();
    private final Map<String, Integer> highest = new HashMap<>();
    private final long clockStartMs;
    private long lastEnd;
    private long seq;
    private volatile long lastBeatMs;
    private long fence;
    private long leaseUntilMs;
    private boolean cut;
    private boolean gone;
    private final Web web;

    Executor(Site site, String id, String machine, int cpu, boolean guards) throws Exception {
        this.site = site;
        this.id = id;
        this.machine = machine;
        this.cpu = cpu;
        this.guards = guards;
        clockStartMs = site.nowMs();
        web = new Web(this::handle);
    }

    /** Writes this executor's entry into the store for the first time. */
    void register() throws Exception {
        site.record.line(id, "registers on " + machine + " at " + web.address());
        beat();
    }

    /** Writes this executor's entry into the store, unless it can't reach it. */
    void beat() throws Exception {
        synchronized (site) {
            if (gone || cut) {
                return;
            }
            lastBeatMs = site.nowMs();
            seq++;
        }
        ObjectNode entry = Web.JSON.createObjectNode();
        entry.put("service", Site.SERVICE).put("addr", web.address()).put("zone", "gimhae").put("version", "v1");
        entry.put("slots", 8).put("state", "ready").put("cold_left_ms", 0).put("seq", seq).put("born", born);
        entry.put("machine", machine).put("clock_ms", clockMs());
        entry.putObject("capacity").put("cpu", cpu).put("mem_mb", 131072).put("gpu", 0);
        site.labels(machine).forEach(entry.putArray("labels")::add);
        site.store.put("servers/" + id, entry);
    }

    private long clockMs() {
        return site.nowMs() - clockStartMs;
    }

    /** Cuts the executor off, or heals the cut; it runs on meanwhile. */
    void cut(boolean now) {
        synchronized (site) {
            cut = now;
            site.notifyAll();
        }
        site.record.line(id, now ? "cut off" : "reachable again");
    }

    /** Ends this life at once, and with it all that it runs. */
    void end(String why) {
        synchronized (site) {
            gone = true;
            site.record.line(id, "ends: " + why + ", with " + running.keySet());
            running.clear();
            site.notifyAll();
        }
        web.stop();
    }

    /** Returns how long ago this executor wrote its entry, in milliseconds. */
    long silentMs() {
        return site.nowMs() - lastBeatMs;
    }

    boolean isGone() {
        return gone;
    }

    /** Returns the processor capacity in use, also of what is being stopped. */
    int usedCpu() {
        return running.values().stream().mapToInt(r -> r.kind.cpu()).sum();
    }

    /** Returns the string that a run saves: work done in milliseconds, and the step it belongs to. */
    private static String save(Run run, long workedMs) {
        long savedMs = workedMs / SAVE_UNIT_MS * SAVE_UNIT_MS;
        return savedMs <= 0 ? run.checkpoint : String.format("%08x%08x", savedMs, run.step().hashCode());
    }

    private void finish(Run run, String how) {
        long workedMs = run.workedMs(site.nowMs());
        boolean atStop = how.equals("stopped") || how.equals("broken") || how.equals("lapsed");
        String saved = how.equals("done") || !site.checkpoints ? "" : atStop ? save(run, workedMs) : run.checkpoint;
        running.remove(run.task);
        highest.merge(run.task, run.run, Math::max);
        ends.add(new End(++lastEnd, run.task, run.run, how, saved));
        site.record.line(id, "end " + run.task + " run " + run.run + " " + how + " saved=" + saved);
        site.onEnd(this, run, how);
        site.notifyAll();
    }

    /** Ends runs that are done, stopped or whose lease is over. Called each few milliseconds. */
    void tick() {
        long nowMs = site.nowMs();
        if (gone) {
            return;
        }
        boolean lapsed = clockMs() > leaseUntilMs;
        for (Run run : List.copyOf(running.values())) {
            if (lapsed) {
                finish(run, "lapsed");
            } else if (run.stopAtMs >= 0 && nowMs >= run.stopAtMs) {
                finish(run, run.stopReason);
            } else if (run.kind.gang() && run.beganMs < 0 && nowMs - run.startedMs > Site.GANG_WAIT_MS) {
                finish(run, "alone");
            } else if (!run.kind.lasting() && run.beganMs >= 0 && run.workedMs(nowMs) >= run.kind.workMs()) {
                finish(run, "done");
            } else if (site.checkpoints && run.beganMs >= 0) {
                long step = Site.CHECKPOINT_MS;
                run.checkpoint = save(run, run.workedMs(nowMs) / step * step);
            }
        }
    }

    /** Ends the members of a gang one of whose members has ended. */
    void breakGang(String step, int number) {
        for (Run run : List.copyOf(running.values())) {
            boolean present = running.get(run.task) == run;
            if (present && run.step().equals(step) && run.run == number) {
                finish(run, "broken");
            }
        }
    }

    private Web.Reply handle(Web.Call call) throws Exception {
        synchronized (site) {
            if (cut) {
                // What a partition holds up is lost: its sender has given it up by the time it heals.
                while (cut) {
                    site.wait();
                }
                return null;
            }
            long delayMs = call.path().equals("/api/run-start") ? site.lateMs(this, call) : 0;
            if (delayMs > 0) {
                site.carryOutLate(this, call, delayMs);
                return null;
            }
            Web.Reply reply = answer(call);
            return cut || gone ? null : reply;
        }
    }

    Web.Reply answer(Web.Call call) throws Exception {
        if (call.path().equals("/healthz")) {
            return Web.reply(200);
        }
        String expected = call.header("Expect-Executor");
        if (expected != null && !expected.equals(id)) {
            return Web.reply(421);
        }
        long callFence = call.body().path("fence").asLong();
        if (callFence < fence) {
            return refuse("fence");
        }
        fence = callFence;
        return switch (call.path()) {
            case "/api/run-start" -> start(call);
            case "/api/run-stop" -> stop(call);
            case "/api/hold" -> hold(call);
            case "/api/pace" -> new Web.Reply(200, body());
            default -> Web.reply(400);
        };
    }

    private ObjectNode body() {
        return Web.JSON.createObjectNode().put("clock_ms", clockMs());
    }

    private Web.Reply refuse(String reason) {
        return new Web.Reply(409, body().put("reason", reason));
    }

    private void extendLease(long deadlineMs) {
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(deadlineMs, clockMs() + Site.MAX_HOLD_MS));
    }

    private Web.Reply start(Web.Call call) {
        String name = call.body().path("task").asText();
        int number = call.body().path("run").asInt();
        long deadlineMs = call.body().path("deadline_ms").asLong();
        if (deadlineMs <= clockMs()) {
            return refuse("late");
        }
        extendLease(deadlineMs);
        Run present = running.get(name);
        if (present != null && present.run == number) {
            return new Web.Reply(200, body());
        }
        if (present != null || number <= highest.getOrDefault(name, 0)) {
            return refuse("old");
        }
        Run run = new Run();
        run.task = name;
        run.run = number;
        run.kind = site.kindOf(name);
        if (run.kind == null) {
            return Web.reply(400);
        }
        if (guards && usedCpu() + run.kind.cpu() > cpu) {
            return refuse("room");
        }
        run.startedMs = site.nowMs();
        run.checkpoint = call.body().path("checkpoint_state").asText("");
        if (!run.checkpoint.isEmpty()) {
            run.savedBeforeMs = Long.parseLong(run.checkpoint.substring(0, 8), 16);
        }
        running.put(name, run);
        site.record.line(
                id, "start " + name + " run " + number + " fence " + callFenceText(call) + " checkpoint=" + run.checkpoint);
        if (run.kind.gang()) {
            site.joinGang(run);
        } else {
            run.beganMs = run.startedMs;
        }
        site.onStart(this, run);
        return new Web.Reply(200, body());
    }

    private static String callFenceText(Web.Call call) {
        return call.body().path("fence").asText();
    }

    private Web.Reply stop(Web.Call call) {
        String name = call.body().path("task").asText();
        int number = call.body().path("run").asInt();
        Run run = running.get(name);
        highest.merge(name, number, Math::max);
        if (run != null && run.run <= number && run.stopAtMs < 0) {
            run.stopAtMs = site.nowMs() + site.killMs;
            run.stopReason = "stopped";
            site.record.line(id, "stop " + name + " run " + number);
        }
        return new Web.Reply(200, body());
    }

    private Web.Reply hold(Web.Call call) throws Exception {
        long seen = call.body().path("seen_upto").asLong();
        ends.removeIf(end -> end.number() <= seen);
        long deadlineMs = call.body().path("deadline_ms").asLong();
        if (deadlineMs > 0) {
            extendLease(deadlineMs);
        }
        long untilMs = site.nowMs() + call.body().path("wait_ms").asLong();
        while (ends.isEmpty() && !gone && !cut && site.nowMs() < untilMs) {
            site.wait(Math.max(1, untilMs - site.nowMs()));
        }
        ObjectNode out = body().put("born", born);
        ArrayNode runs = out.putArray("running");
        for (Run run : running.values()) {
            runs.addArray().add(run.task).add(run.run).add(run.checkpoint).add(percent(run)).add(run.kind.lasting() ? 50 : run.kind.cpu());
        }
        ArrayNode finished = out.putArray("finished");
        for (End end : ends) {
            if (finished.size() < 500) {
                finished.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how()).add(end.saved());
            }
        }
        return new Web.Reply(200, out);
    }

    /** Returns whether a run that lasts is at work. */
    boolean isAtWork(Run run) {
        return percent(run) == 100 && run.stopAtMs < 0;
    }

    private int percent(Run run) {
        if (run.beganMs < 0) {
            return 0;
        }
        long workedMs = run.workedMs(site.nowMs());
        long neededMs = run.kind.lasting() ? STARTUP_MS : run.kind.workMs();
        return (int) Math.min(run.kind.lasting() ? 100 : 99, workedMs * 100 / Math.max(1, neededMs));
    }
}
