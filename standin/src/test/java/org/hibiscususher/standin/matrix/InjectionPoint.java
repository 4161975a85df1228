package org.hibiscususher.standin.matrix;

import java.util.Optional;
import java.util.function.Predicate;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.world.HostStage;
import org.hibiscususher.core.world.NodeStage;
import org.hibiscususher.core.world.PendingNoteState;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.standin.virtual.VirtualEntry;
import org.hibiscususher.standin.virtual.VirtualRequest;

/**
 * The rows of the fault matrix: the state of the site in which the faults are injected. Each names
 * an entry in that state, on which faults of a single entry act. The seed of a run depends on the
 * order of the constants.
 */
enum InjectionPoint {
    /** A request is among the inputs of an entry that has not run its tick yet. */
    REQUEST_ARRIVED {
        @Override
        Optional<String> reached(FaultScenario scenario) {
            return Optional.of(scenario.burst("e2", 1));
        }
    },
    /** Requests wait for permits. */
    REQUEST_WAITING {
        @Override
        void begin(FaultScenario scenario) {
            scenario.burst("e2", BURST_REQUESTS);
        }

        @Override
        Optional<String> reached(FaultScenario scenario) {
            return entryWithRequest(scenario, RequestState.WAITING);
        }
    },
    /** A request runs on a target. */
    REQUEST_RUNNING {
        @Override
        Optional<String> reached(FaultScenario scenario) {
            return entryWithRequest(scenario, RequestState.RUNNING);
        }
    },
    /** A request's caller disconnects while the request runs on a target. */
    CALLER_DISCONNECTED {
        @Override
        Optional<String> reached(FaultScenario scenario) {
            for (VirtualRequest request : scenario.site().requests().values()) {
                if (!request.isFinished() && request.runCount() > 0) {
                    scenario.site().cancel(request);
                    return Optional.of(request.entry());
                }
            }
            return Optional.empty();
        }
    },
    /** An entry reads the head record for an operator's release note. */
    NOTE_READING {
        @Override
        void begin(FaultScenario scenario) {
            scenario.submit("e1", ScenarioNotes.changeLimit("step", 8));
        }

        @Override
        Optional<String> reached(FaultScenario scenario) {
            return entryWithNote(scenario, PendingNoteState.READING);
        }
    },
    /** An entry writes an operator's release note to the store. */
    NOTE_WRITING {
        @Override
        void begin(FaultScenario scenario) {
            scenario.submit("e1", ScenarioNotes.changeLimit("step", 8));
        }

        @Override
        Optional<String> reached(FaultScenario scenario) {
            return entryWithNote(scenario, PendingNoteState.WRITING);
        }
    },
    /** A note is written and being rolled out to the entries. */
    NOTE_ROLLING_OUT {
        @Override
        void begin(FaultScenario scenario) {
            scenario.submit("e1", ScenarioNotes.changeLimit("step", 8));
        }

        @Override
        Optional<String> reached(FaultScenario scenario) {
            return entryWithNote(scenario, PendingNoteState.ROLLING_OUT);
        }
    },
    /** A note that withdraws a key is being written. */
    KEY_WITHDRAWAL {
        @Override
        void begin(FaultScenario scenario) {
            scenario.withdrawKey("e1");
        }

        @Override
        Optional<String> reached(FaultScenario scenario) {
            return entryWithNote(scenario, PendingNoteState.WRITING);
        }
    },
    /** A team's upper limit is lowered while its requests run. */
    LIMIT_LOWERING {
        @Override
        void begin(FaultScenario scenario) {
            scenario.burst("e1", BURST_REQUESTS);
            scenario.submit("e1", ScenarioNotes.changeLimit("step", 2));
        }

        @Override
        Optional<String> reached(FaultScenario scenario) {
            return entryWithNote(scenario, PendingNoteState.ROLLING_OUT);
        }
    },
    /** Permits are being transferred to an entry with high demand. */
    PERMITS_MOVING {
        @Override
        void begin(FaultScenario scenario) {
            scenario.saveBaseline(heldUnits(scenario));
            scenario.burst("e3", BURST_REQUESTS);
        }

        @Override
        Optional<String> reached(FaultScenario scenario) {
            return heldUnits(scenario) == scenario.baseline()
                    ? Optional.empty()
                    : Optional.of("e3");
        }

        private int heldUnits(FaultScenario scenario) {
            return scenario.entry("e3")
                    .world()
                    .holdings()
                    .find(PermitKey.unit("alpha"))
                    .map(h -> h.held())
                    .orElse(0);
        }
    },
    /** A host is drained to move it to another pool. */
    HOST_MOVING {
        @Override
        void begin(FaultScenario scenario) {
            scenario.moveHost("e1", "h2", "long");
        }

        @Override
        Optional<String> reached(FaultScenario scenario) {
            return firstRunningEntry(
                    scenario,
                    e ->
                            e.world()
                                    .hosts()
                                    .find("h2")
                                    .map(h -> h.stage() == HostStage.RECALLED)
                                    .orElse(false));
        }
    },
    /** A host is drained for a maintenance wave. */
    WAVE_RECALLING {
        @Override
        void begin(FaultScenario scenario) {
            scenario.startWave("e1");
        }

        @Override
        Optional<String> reached(FaultScenario scenario) {
            return firstRunningEntry(
                    scenario,
                    e ->
                            e.world().hosts().rows().stream()
                                    .anyMatch(h -> h.stage() == HostStage.RECALLED));
        }
    },
    /** A host reboots in a maintenance wave. */
    WAVE_REBOOTING {
        @Override
        void begin(FaultScenario scenario) {
            scenario.startWave("e1");
        }

        @Override
        Optional<String> reached(FaultScenario scenario) {
            boolean rebooting =
                    scenario.rebooting("quick").size() + scenario.rebooting("long").size() > 0;
            return rebooting ? Optional.of("e1") : Optional.empty();
        }
    },
    /** A new entry joins. */
    MEMBER_JOINING {
        @Override
        void begin(FaultScenario scenario) {
            scenario.site().start("e5", "z2");
        }

        @Override
        Optional<String> reached(FaultScenario scenario) {
            return firstRunningEntry(scenario, e -> e.world().node().stage() == NodeStage.JOINING);
        }
    },
    /** An entry shuts down gracefully. */
    MEMBER_LEAVING {
        @Override
        void begin(FaultScenario scenario) {
            scenario.site().shutDown("e3");
        }

        @Override
        Optional<String> reached(FaultScenario scenario) {
            return firstRunningEntry(scenario, e -> e.world().node().stage() == NodeStage.LEAVING);
        }
    },
    /** An entry was killed just now; its peers have not detected it. */
    MEMBER_DYING {
        @Override
        Optional<String> reached(FaultScenario scenario) {
            scenario.kill("e4");
            return Optional.of("e1");
        }
    };

    private static final int BURST_REQUESTS = 60;

    /** Triggers what leads to this state; nothing if the load alone does. */
    void begin(FaultScenario scenario) {}

    /** Returns an entry that is in this state, or empty. Called until an entry is found. */
    abstract Optional<String> reached(FaultScenario scenario);

    private static Optional<String> entryWithRequest(FaultScenario scenario, RequestState state) {
        return firstRunningEntry(
                scenario,
                e -> e.world().requests().rows().stream().anyMatch(r -> r.state() == state));
    }

    private static Optional<String> entryWithNote(FaultScenario scenario, PendingNoteState state) {
        return firstRunningEntry(
                scenario,
                e -> e.world().pendingNotes().rows().stream().anyMatch(n -> n.state() == state));
    }

    private static Optional<String> firstRunningEntry(
            FaultScenario scenario, Predicate<VirtualEntry> predicate) {
        return scenario.site().entries().values().stream()
                .filter(e -> scenario.isRunning(e.id()))
                .filter(predicate)
                .map(VirtualEntry::id)
                .findFirst();
    }
}
