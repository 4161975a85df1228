package org.hibiscususher.core.maintenance;

import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.message.Input.RecordSwapped;
import org.hibiscususher.core.message.Input.WaveAsked;
import org.hibiscususher.core.message.OutageReason;
import org.hibiscususher.core.message.Output.AnswerWave;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;
import org.hibiscususher.core.message.SwapResult;
import org.hibiscususher.core.message.WaveCommand;
import org.hibiscususher.core.message.WaveState;
import org.hibiscususher.core.world.PendingWaveRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Carries out operators' commands about the maintenance wave. */
public final class WaveCommandSystem {
    private static final int ANSWER_LIMIT_MS = 10_000;
    private static final String ID_PREFIX = "wave-";

    private WaveCommandSystem() {}

    /** Takes the commands that have come and answers those that are settled. */
    public static void run(Tick tick) {
        for (PendingWaveRow row : tick.world().pendingWaves().rows()) {
            advance(tick, row);
        }
        for (WaveAsked asked : tick.inputs(WaveAsked.class)) {
            if (asked.command() == WaveCommand.SHOW) {
                reply(tick, asked, true, "");
            } else {
                tick.world()
                        .pendingWaves()
                        .put(
                                asked.callId(),
                                new PendingWaveRow(asked, Optional.empty(), tick.nowMs()));
            }
        }
    }

    private static void execute(Tick tick, WaveAsked asked) {
        World world = tick.world();
        Optional<WaveRecord> present = FleetRecords.wave(world);
        Optional<String> obstacle = rejectionReason(tick, asked, present);
        if (obstacle.isPresent()) {
            reply(tick, asked, false, obstacle.get());
            return;
        }
        WaveRecord next =
                asked.command() == WaveCommand.PLAN
                        ? newWave(world, asked, present)
                        : present.orElseThrow()
                                .withState(
                                        asked.command().next(present.get().state()),
                                        "by an operator");
        world.pendingWaves()
                .put(asked.callId(), new PendingWaveRow(asked, Optional.of(next), tick.nowMs()));
        FleetRecords.draft(world, RecordKey.WAVE, next);
    }

    private static Optional<String> rejectionReason(
            Tick tick, WaveAsked asked, Optional<WaveRecord> present) {
        World world = tick.world();
        if (!FleetRecords.canDraft(world, RecordKey.WAVE)) {
            return Optional.of("another command is being carried out; try again");
        }
        Optional<String> unknown =
                asked.pools().stream()
                        .filter(p -> !world.configuration().pools().containsKey(p))
                        .findFirst();
        if (unknown.isPresent()) {
            return Optional.of("there is no pool " + unknown.get());
        }
        WaveState state = present.map(WaveRecord::state).orElse(WaveState.DONE);
        boolean busy =
                state.takesHosts()
                        || world.outages().rows().stream()
                                .anyMatch(o -> o.outage().reason() == OutageReason.WAVE);
        return switch (asked.command()) {
            case PLAN ->
                    busy
                            ? Optional.of("the present wave still has hosts out; pause it first")
                            : Optional.empty();
            case START ->
                    state == WaveState.DONE
                            ? Optional.of("there is no planned or paused wave")
                            : Optional.empty();
            case PAUSE ->
                    state == WaveState.RUNNING
                            ? Optional.empty()
                            : Optional.of("no wave is running");
            case SHOW -> Optional.empty();
        };
    }

    private static WaveRecord newWave(World world, WaveAsked asked, Optional<WaveRecord> present) {
        int number =
                present.map(w -> Integer.parseInt(w.id().substring(ID_PREFIX.length()))).orElse(0);
        SortedSet<String> hosts = new TreeSet<>();
        for (HostSpec spec : world.configuration().hosts().values()) {
            if (asked.pools().isEmpty() || asked.pools().contains(spec.pool())) {
                hosts.add(spec.id());
            }
        }
        return new WaveRecord(ID_PREFIX + (number + 1), WaveState.PLANNED, "", hosts);
    }

    /** Begins a command once the present record was read, and answers it once that is settled. */
    private static void advance(Tick tick, PendingWaveRow row) {
        World world = tick.world();
        boolean conflict =
                tick.inputs(RecordSwapped.class).stream()
                        .filter(s -> s.key().equals(RecordKey.WAVE))
                        .anyMatch(s -> s.result() == SwapResult.CONFLICT);
        if (row.wanted().isEmpty() && world.fleetSync().readSince(row.sinceMs())) {
            execute(tick, row.asked());
        } else if (row.wanted().isPresent() && row.wanted().equals(FleetRecords.wave(world))) {
            reply(tick, row.asked(), true, "");
        } else if (row.wanted().isPresent() && conflict) {
            reply(tick, row.asked(), false, "another command came first; look again");
        } else if (tick.nowMs() - row.sinceMs() >= ANSWER_LIMIT_MS) {
            reply(
                    tick,
                    row.asked(),
                    false,
                    "the platform's store gave no answer; the command may have been carried"
                            + " out: see wave show");
        }
    }

    private static void reply(Tick tick, WaveAsked asked, boolean ok, String detail) {
        tick.world().pendingWaves().remove(asked.callId());
        tick.count("wave.command-" + (ok ? "ok" : "declined"));
        tick.emit(new AnswerWave(asked.callId(), WaveReports.of(tick, ok, detail)));
    }
}
