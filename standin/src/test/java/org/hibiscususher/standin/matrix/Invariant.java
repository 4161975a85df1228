package org.hibiscususher.standin.matrix;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.hibiscususher.core.message.ExecutionStatus;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.PermitKind;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.standin.virtual.ProcessState;
import org.hibiscususher.standin.virtual.VirtualEntry;
import org.hibiscususher.standin.virtual.VirtualRequest;

/**
 * The safety properties that must hold at all times, whatever fails. Each constant checks the whole
 * simulated site from outside, by what ran on the targets and by the tables of the entries.
 */
enum Invariant {
    /** No team has more requests running than its upper limit; see {@code allowedRunning}. */
    UPPER_LIMIT {
        @Override
        Optional<String> violation(FaultScenario scenario) {
            for (String team : FaultScenario.TEAMS) {
                int running = scenario.running(team);
                int allowed = scenario.allowedRunning(team);
                if (running > allowed) {
                    return Optional.of(
                            team + " runs " + running + " requests, allowed are " + allowed);
                }
            }
            return Optional.empty();
        }
    },
    /** No host runs more requests than it has slots. */
    HOST_SLOTS {
        @Override
        Optional<String> violation(FaultScenario scenario) {
            return scenario.site().targets().values().stream()
                    .filter(t -> t.runningRequests() > FaultScenario.SLOTS_PER_HOST)
                    .map(t -> t.id() + " runs " + t.runningRequests() + " requests")
                    .findFirst();
        }
    },
    /** No two pools run requests on the same host, also while it moves between them. */
    ONE_POOL_PER_HOST {
        @Override
        Optional<String> violation(FaultScenario scenario) {
            Map<String, String> pools = new HashMap<>();
            for (VirtualEntry entry : scenario.site().entries().values()) {
                for (HoldingRow row : entry.world().holdings().rows()) {
                    PermitKey key = row.key();
                    if (key.kind() != PermitKind.SLOT || row.inUse() == 0) {
                        continue;
                    }
                    boolean dead = entry.processState() == ProcessState.DEAD;
                    if (dead && !scenario.site().target(key.name()).isRunningFor(entry.id())) {
                        continue;
                    }
                    String other = pools.putIfAbsent(key.name(), key.group());
                    if (other != null && !other.equals(key.group())) {
                        return Optional.of(key.name() + " serves " + other + " and " + key.group());
                    }
                }
            }
            return Optional.empty();
        }
    },
    /** No request with an unknown key runs, nor with a withdrawn one, after a delay. */
    VALID_KEYS_ONLY {
        @Override
        Optional<String> violation(FaultScenario scenario) {
            return scenario.recent()
                    .filter(r -> r.runCount() > 0)
                    .filter(
                            r ->
                                    r.team().equals(FaultScenario.UNKNOWN_TEAM)
                                            || scenario.startedAfterKeyWithdrawal(r))
                    .map(r -> "request " + r.arrival().requestId() + " of " + r.team() + " ran")
                    .findFirst();
        }
    },
    /** A request whose caller has its response or refusal is not started again. */
    NO_RUN_AFTER_END {
        @Override
        Optional<String> violation(FaultScenario scenario) {
            return scenario.recent()
                    .filter(r -> r.isFinished() && !r.isCancelled())
                    .filter(r -> r.lastRunMs() > r.endedMs())
                    .map(r -> "request " + r.arrival().requestId() + " ran after it had ended")
                    .findFirst();
        }
    },
    /** A request that was refused as not run has never run: its caller may safely resend it. */
    NOT_RUN_IS_TRUE {
        @Override
        Optional<String> violation(FaultScenario scenario) {
            return scenario.recent()
                    .filter(r -> r.runCount() > 0)
                    .filter(
                            r ->
                                    r.refusal()
                                            .map(
                                                    f ->
                                                            f.executionStatus()
                                                                    == ExecutionStatus.NOT_RUN)
                                            .orElse(false))
                    .map(
                            r ->
                                    "request "
                                            + r.arrival().requestId()
                                            + " ran "
                                            + r.runCount()
                                            + " times")
                    .findFirst();
        }
    },
    /** A non-idempotent request runs at most once, resends with the same key included. */
    AT_MOST_ONCE {
        @Override
        Optional<String> violation(FaultScenario scenario) {
            Map<String, Integer> runs = new HashMap<>();
            Stream<VirtualRequest> nonIdempotent =
                    scenario.recent().filter(r -> !r.arrival().idempotent());
            for (VirtualRequest request : (Iterable<VirtualRequest>) nonIdempotent::iterator) {
                String key = request.arrival().idempotencyKey();
                String name = key.isEmpty() ? "#" + request.arrival().requestId() : key;
                if (runs.merge(name, request.runCount(), Integer::sum) > 1) {
                    return Optional.of(name + " ran " + runs.get(name) + " times");
                }
            }
            return Optional.empty();
        }
    },
    /** A drained host gets no new requests after the propagation limit. */
    NO_WORK_ON_DRAINED_HOST {
        @Override
        Optional<String> violation(FaultScenario scenario) {
            return scenario.workStartedOnDrainedHost();
        }
    },
    /** A maintenance wave reboots no host on which requests run. */
    REBOOTS_IDLE_HOSTS_ONLY {
        @Override
        Optional<String> violation(FaultScenario scenario) {
            return scenario.site().platform().violations().stream().findFirst();
        }
    },
    /** A wave takes no more hosts out of service than the availability budgets allow. */
    AVAILABILITY_BUDGET {
        @Override
        Optional<String> violation(FaultScenario scenario) {
            List<String> quick = scenario.rebooting("quick");
            List<String> zones = quick.stream().map(FaultScenario::zoneOf).distinct().toList();
            boolean holds =
                    quick.size() <= 2
                            && zones.size() == quick.size()
                            && scenario.rebooting("long").size() <= 1;
            return holds
                    ? Optional.empty()
                    : Optional.of(
                            "out of service: " + quick + " and " + scenario.rebooting("long"));
        }
    },
    /** The configuration revision of a process never decreases. */
    REVISION_NEVER_DECREASES {
        @Override
        Optional<String> violation(FaultScenario scenario) {
            for (VirtualEntry entry : scenario.site().entries().values()) {
                String process = entry.id() + "/" + entry.identity().incarnation();
                long revision = entry.world().configuration().revision();
                if (scenario.recordRevision(process, revision) > revision) {
                    return Optional.of(process + " reverted to revision " + revision);
                }
            }
            return Optional.empty();
        }
    },
    /** An accepted revision is in force on every entry that admits requests. */
    ACCEPTED_REVISION_IN_FORCE {
        @Override
        Optional<String> violation(FaultScenario scenario) {
            long accepted = scenario.acceptedRevision();
            Set<String> behind = new HashSet<>();
            for (VirtualEntry entry : scenario.site().entries().values()) {
                if (scenario.admits(entry) && entry.world().configuration().revision() < accepted) {
                    behind.add(entry.id());
                }
            }
            return behind.isEmpty()
                    ? Optional.empty()
                    : Optional.of("revision " + accepted + " is not in force on " + behind);
        }
    };

    /** Returns a description of a current violation, or empty if the invariant holds. */
    abstract Optional<String> violation(FaultScenario scenario);
}
