package org.hibiscususher.core.maintenance;

import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.message.Input.RecordSwapped;
import org.hibiscususher.core.message.Input.WaveCommandReceived;
import org.hibiscususher.core.message.OutageReason;
import org.hibiscususher.core.message.Output.ReplyToWave;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;
import org.hibiscususher.core.message.SwapResult;
import org.hibiscususher.core.message.WaveCommand;
import org.hibiscususher.core.message.WaveState;
import org.hibiscususher.core.world.PendingWaveRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Executes operators' commands about the maintenance wave.
 *
 * <p>A command is decided on a record that was read after the command came, and is answered once
 * its write is seen in the store or has failed. An earlier record could lack another operator's
 * command, and an earlier answer could report a write that never took place.
 */
public final class WaveCommandSystem {
    /** Time after which a command is answered even if its result is not known. */
    private static final int REPLY_TIMEOUT_MS = 10_000;

    private static final String ID_PREFIX = "wave-";

    /** Ids of waves, whose numbers have so few digits that the next one is an int as well. */
    private static final Pattern ID_PATTERN = Pattern.compile(ID_PREFIX + "[0-9]{1,9}");

    private WaveCommandSystem() {}

    /**
     * Advances the pending commands and accepts new ones; a command to show the wave is answered.
     */
    public static void run(Tick tick) {
        for (PendingWaveRow row : tick.world().pendingWaves().rows()) {
            advance(tick, row);
        }
        for (WaveCommandReceived request : tick.inputs(WaveCommandReceived.class)) {
            if (request.command() == WaveCommand.SHOW) {
                reply(tick, request, true, "");
            } else {
                tick.world()
                        .pendingWaves()
                        .put(
                                request.callId(),
                                new PendingWaveRow(request, Optional.empty(), tick.nowMs()));
            }
        }
    }

    /** Drafts the wave that a command leads to, or rejects the command. */
    private static void execute(Tick tick, WaveCommandReceived request) {
        World world = tick.world();
        Optional<WaveRecord> current = FleetRecords.wave(world);
        Optional<String> rejection = rejectionReason(tick, request, current);
        if (rejection.isPresent()) {
            reply(tick, request, false, rejection.get());
            return;
        }
        WaveRecord next =
                request.command() == WaveCommand.PLAN
                        ? newWave(world, request, current)
                        : current.orElseThrow()
                                .withState(
                                        request.command().next(current.get().state()),
                                        "by an operator");
        world.pendingWaves()
                .put(
                        request.callId(),
                        new PendingWaveRow(request, Optional.of(next), tick.nowMs()));
        FleetRecords.draft(world, RecordKey.WAVE, next);
    }

    /** Returns why a command can't be executed, for the operator, or empty if it can. */
    private static Optional<String> rejectionReason(
            Tick tick, WaveCommandReceived request, Optional<WaveRecord> current) {
        World world = tick.world();
        if (!FleetRecords.canDraft(world, RecordKey.WAVE)) {
            return Optional.of("another command is being carried out; try again");
        }
        Optional<String> unknown =
                request.pools().stream()
                        .filter(p -> !world.configuration().pools().containsKey(p))
                        .findFirst();
        if (unknown.isPresent()) {
            return Optional.of("there is no pool " + unknown.get());
        }
        WaveState state = current.map(WaveRecord::state).orElse(WaveState.DONE);
        boolean busy =
                state.mayTakeHosts()
                        || world.outages().rows().stream()
                                .anyMatch(o -> o.outage().reason() == OutageReason.WAVE);
        return switch (request.command()) {
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

    /**
     * Returns a planned wave, with the next number, over the hosts declared in the requested pools,
     * or over all hosts if none is given.
     */
    private static WaveRecord newWave(
            World world, WaveCommandReceived request, Optional<WaveRecord> current) {
        int number = current.map(w -> numberOf(w.id())).orElse(0);
        SortedSet<String> hosts = new TreeSet<>();
        for (HostSpec spec : world.configuration().hosts().values()) {
            if (request.pools().isEmpty() || request.pools().contains(spec.pool())) {
                hosts.add(spec.id());
            }
        }
        return new WaveRecord(ID_PREFIX + (number + 1), WaveState.PLANNED, "", hosts);
    }

    /** Returns the number of a wave, or 0 if its id is not of the kind that this system gives. */
    private static int numberOf(String id) {
        return ID_PATTERN.matcher(id).matches()
                ? Integer.parseInt(id.substring(ID_PREFIX.length()))
                : 0;
    }

    /**
     * Executes a command once the present record was read, and answers it once the result of its
     * write is known or too much time has passed.
     */
    private static void advance(Tick tick, PendingWaveRow row) {
        World world = tick.world();
        boolean conflict =
                tick.inputs(RecordSwapped.class).stream()
                        .filter(s -> s.key().equals(RecordKey.WAVE))
                        .anyMatch(s -> s.result() == SwapResult.CONFLICT);
        if (row.newRecord().isEmpty() && world.fleetSync().readSince(row.sinceMs())) {
            execute(tick, row.command());
        } else if (row.newRecord().isPresent()
                && row.newRecord().equals(FleetRecords.wave(world))) {
            reply(tick, row.command(), true, "");
        } else if (row.newRecord().isPresent() && conflict) {
            reply(tick, row.command(), false, "another command came first; look again");
        } else if (tick.nowMs() - row.sinceMs() >= REPLY_TIMEOUT_MS) {
            reply(
                    tick,
                    row.command(),
                    false,
                    "the platform's store gave no answer; the command may have been carried"
                            + " out: see wave show");
        }
    }

    private static void reply(Tick tick, WaveCommandReceived request, boolean ok, String detail) {
        tick.world().pendingWaves().remove(request.callId());
        tick.count("wave.command-" + (ok ? "ok" : "declined"));
        tick.emit(new ReplyToWave(request.callId(), WaveReports.of(tick, ok, detail)));
    }
}
