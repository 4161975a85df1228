package org.hibiscususher.core.scheduler.upkeep;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.scheduler.executor.Runs;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HostOrderAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.MaintainHost;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.HostStep;
import org.hibiscususher.core.scheduler.world.HostTaskRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.WaveRow;

/**
 * Has the hosts of a wave maintained in time, with at most its cap away at once.
 *
 * <p>Hosts are emptied a few ahead of the cap, those with the least work first, so that the next
 * one is empty when another comes back.
 */
public final class WaveSystem {
    /** Hosts that are emptied beyond the cap. */
    private static final int AHEAD = 1;

    private static final long ORDER_TIMEOUT_MS = 3_000;
    private static final long RETRY_MS = 300;

    private WaveSystem() {}

    /** Runs over the waves and the hosts under way. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (HostOrderAnswered answer : tick.inputs(HostOrderAnswered.class)) {
            answered(tick, answer);
        }
        if (world.hostList().get().listedMs() == 0 || !Authority.mayOrderHosts(tick)) {
            return;
        }
        for (WaveRow wave : world.waves().rows()) {
            if (!wave.done()) {
                advance(tick, wave);
            }
        }
        for (HostTaskRow row : world.hostTasks().rows()) {
            step(tick, row);
        }
    }

    private static void advance(SchedulerTick tick, WaveRow wave) {
        SchedulerWorld world = tick.world();
        long number = wave.order().wave();
        if (!wave.announced()) {
            announce(world, number, false);
            world.waves().put(number, wave.asAnnounced());
        }
        int under = 0;
        for (HostTaskRow row : world.hostTasks().rows()) {
            under += row.wave() == number ? 1 : 0;
        }
        List<String> next = new ArrayList<>();
        boolean left = false;
        for (String host : wave.order().hosts()) {
            boolean open = !wave.begun().contains(host);
            left |= open;
            if (open && !world.hostTasks().contains(host) && isUp(world, host)) {
                next.add(host);
            }
        }
        next.sort(Comparator.comparingInt(h -> runsOn(world, h)));
        for (String host : next) {
            if (under < wave.order().cap() + AHEAD) {
                cordon(tick, host, number);
                under++;
            }
        }
        if (!left && under == 0) {
            announce(world, number, true);
            world.waves().update(number, WaveRow::asDone);
            tick.log("wave-done", "wave=" + number);
        }
    }

    private static void announce(SchedulerWorld world, long wave, boolean done) {
        StoredRecord status = new StoredRecord.WaveStatus(wave, done);
        world.pendingRecords().put(status.name(), status);
    }

    private static boolean isUp(SchedulerWorld world, String host) {
        return world.hosts().find(host).filter(h -> h.state() == HostState.UP).isPresent();
    }

    private static int runsOn(SchedulerWorld world, String host) {
        return world.hosts().find(host).map(h -> world.runs().group(h.executor()).size()).orElse(0);
    }

    private static void cordon(SchedulerTick tick, String host, long wave) {
        SchedulerWorld world = tick.world();
        String executor = world.hosts().find(host).map(HostReport::executor).orElse("");
        world.executors().update(executor, e -> e.withCordoned(true));
        world.hostTasks()
                .put(
                        host,
                        new HostTaskRow(
                                host, wave, "", HostStep.EMPTYING, 0, 0, tick.nowMs(), executor));
        tick.log("host-emptying", "host=" + host + " wave=" + wave + " executor=" + executor);
    }

    private static void step(SchedulerTick tick, HostTaskRow row) {
        switch (row.step()) {
            case EMPTYING -> empty(tick, row);
            case ORDERED -> {
                if (tick.nowMs() - row.sinceMs() > ORDER_TIMEOUT_MS) {
                    tick.world()
                            .hostTasks()
                            .put(row.host(), row.withStep(HostStep.EMPTYING, 0, tick.nowMs()));
                }
            }
            default -> back(tick, row);
        }
    }

    private static void empty(SchedulerTick tick, HostTaskRow row) {
        SchedulerWorld world = tick.world();
        boolean empty = Eviction.run(tick, row.executor(), row.sinceMs());
        int away = 0;
        for (HostTaskRow other : world.hostTasks().rows()) {
            away += other.wave() == row.wave() && other.step() != HostStep.EMPTYING ? 1 : 0;
        }
        int cap = world.waves().find(row.wave()).map(w -> w.order().cap()).orElse(0);
        if (empty && away < cap && tick.nowMs() >= row.retryAtMs()) {
            long callId = tick.nextCallId();
            world.hostTasks().put(row.host(), row.withStep(HostStep.ORDERED, callId, tick.nowMs()));
            tick.log("host-maintenance", "host=" + row.host() + " wave=" + row.wave());
            tick.emit(new MaintainHost(callId, row.host(), row.wave(), world.term().get().fence()));
        }
    }

    /** Waits until the platform says that the host is up with another executor. */
    private static void back(SchedulerTick tick, HostTaskRow row) {
        SchedulerWorld world = tick.world();
        HostReport host = world.hosts().find(row.host()).orElse(null);
        boolean fresh = world.hostList().get().listedMs() > row.sinceMs() + RETRY_MS;
        boolean returned =
                host == null
                        || host.state() == HostState.UP
                                && (row.executor().isEmpty()
                                        || !host.executor().equals(row.executor()));
        if (fresh && returned) {
            world.hostTasks().remove(row.host());
            tick.log("host-back", "host=" + row.host() + " wave=" + row.wave());
        }
    }

    private static void answered(SchedulerTick tick, HostOrderAnswered answer) {
        SchedulerWorld world = tick.world();
        HostTaskRow row = world.hostTasks().find(answer.host()).orElse(null);
        if (row == null || row.callId() != answer.callId() || row.step() != HostStep.ORDERED) {
            return;
        }
        tick.log(
                "host-order-answered",
                "host=" + row.host() + " wave=" + row.wave() + " result=" + answer.result());
        tick.count("host-order." + answer.result());
        switch (answer.result()) {
            case DONE -> {
                begun(tick, row);
                world.hostTasks().put(row.host(), row.withStep(HostStep.AWAY, 0, tick.nowMs()));
            }
            case NOT_IN_WAVE, INVALID -> {
                begun(tick, row);
                uncordon(world, row);
            }
            default -> retry(tick, row);
        }
    }

    private static void retry(SchedulerTick tick, HostTaskRow row) {
        long atMs = tick.nowMs() + RETRY_MS;
        tick.world().hostTasks().put(row.host(), row.retried(atMs));
    }

    private static void uncordon(SchedulerWorld world, HostTaskRow row) {
        world.hostTasks().remove(row.host());
        world.executors().update(row.executor(), e -> e.withCordoned(false));
    }

    private static void begun(SchedulerTick tick, HostTaskRow row) {
        SchedulerWorld world = tick.world();
        WaveRow wave = world.waves().find(row.wave()).orElse(null);
        if (wave == null) {
            return;
        }
        Set<String> begun = new HashSet<>(wave.begun());
        begun.add(row.host());
        world.waves().put(row.wave(), wave.withBegun(begun));
        StoredRecord record = new StoredRecord.Wave(row.wave(), new ArrayList<>(begun));
        world.pendingRecords().put(record.name(), record);
        Runs.lifeEnded(tick, row.executor(), "host-maintenance");
    }
}
