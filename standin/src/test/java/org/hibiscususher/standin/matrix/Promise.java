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

/** What must hold at all times, one checker for each promise. */
enum Promise {
    /** No team has more running than its upper limit. */
    UPPER_LIMIT {
        @Override
        Optional<String> violation(Scene scene) {
            for (String team : Scene.TEAMS) {
                int running = scene.running(team);
                int allowed = scene.allowedRunning(team);
                if (running > allowed) {
                    return Optional.of(team + " runs " + running + " of " + allowed);
                }
            }
            return Optional.empty();
        }
    },
    /** No host runs more than it has slots. */
    HOST_SLOTS {
        @Override
        Optional<String> violation(Scene scene) {
            return scene.site().targets().values().stream()
                    .filter(t -> t.runningRequests() > Scene.SLOTS)
                    .map(t -> t.id() + " runs " + t.runningRequests())
                    .findFirst();
        }
    },
    /** Each host belongs to exactly one pool: no two pools have work on it. */
    ONE_POOL {
        @Override
        Optional<String> violation(Scene scene) {
            Map<String, String> pools = new HashMap<>();
            for (VirtualEntry entry : scene.site().entries().values()) {
                for (HoldingRow row : entry.world().holdings().rows()) {
                    PermitKey key = row.key();
                    if (key.kind() != PermitKind.SLOT || row.inUse() == 0) {
                        continue;
                    }
                    boolean ended = entry.processState() == ProcessState.DEAD;
                    if (ended && !scene.site().target(key.name()).isRunningFor(entry.id())) {
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
    /** Work is taken only for the team whose key came with it; a withdrawn key stops working. */
    KEYS {
        @Override
        Optional<String> violation(Scene scene) {
            return scene.recent()
                    .filter(r -> r.runCount() > 0)
                    .filter(r -> r.team().equals(Scene.STRANGER) || scene.afterWithdrawal(r))
                    .map(r -> "request " + r.arrival().requestId() + " of " + r.team() + " ran")
                    .findFirst();
        }
    },
    /** A request that has ended for its caller is not started again. */
    ENDS_ONCE {
        @Override
        Optional<String> violation(Scene scene) {
            return scene.recent()
                    .filter(r -> r.isFinished() && !r.isCancelled())
                    .filter(r -> r.lastRunMs() > r.endedMs())
                    .map(r -> "request " + r.arrival().requestId() + " ran after its end")
                    .findFirst();
        }
    },
    /** A refusal that says "not run" is true. */
    NOT_RUN {
        @Override
        Optional<String> violation(Scene scene) {
            return scene.recent()
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
    /** A non-idempotent request runs at most once, also when its caller sends it again. */
    AT_MOST_ONCE {
        @Override
        Optional<String> violation(Scene scene) {
            Map<String, Integer> runs = new HashMap<>();
            Stream<VirtualRequest> once = scene.recent().filter(r -> !r.arrival().idempotent());
            for (VirtualRequest request : (Iterable<VirtualRequest>) once::iterator) {
                String id = request.arrival().idempotencyKey();
                String name = id.isEmpty() ? "#" + request.arrival().requestId() : id;
                if (runs.merge(name, request.runCount(), Integer::sum) > 1) {
                    return Optional.of(name + " ran " + runs.get(name) + " times");
                }
            }
            return Optional.empty();
        }
    },
    /** A target in graceful shutdown gets no new work after a few seconds. */
    DRAINED_TARGET {
        @Override
        Optional<String> violation(Scene scene) {
            return scene.startedOnDrained();
        }
    },
    /** A planned stop cuts no request. */
    NOTHING_CUT {
        @Override
        Optional<String> violation(Scene scene) {
            return scene.site().platform().violations().stream().findFirst();
        }
    },
    /** Availability budgets hold: few hosts of a pool and of a zone are down for a wave. */
    AVAILABILITY_BUDGET {
        @Override
        Optional<String> violation(Scene scene) {
            List<String> quick = scene.rebooting("quick");
            List<String> spread = quick.stream().map(Scene::zoneOf).distinct().toList();
            boolean holds =
                    quick.size() <= 2
                            && spread.size() == quick.size()
                            && scene.rebooting("long").size() <= 1;
            return holds
                    ? Optional.empty()
                    : Optional.of("down: " + quick + " and " + scene.rebooting("long"));
        }
    },
    /** A revision never goes back. */
    FORWARD_ONLY {
        @Override
        Optional<String> violation(Scene scene) {
            for (VirtualEntry entry : scene.site().entries().values()) {
                String process = entry.id() + "/" + entry.identity().incarnation();
                long revision = entry.world().configuration().revision();
                if (scene.noteRevision(process, revision) > revision) {
                    return Optional.of(process + " went back to revision " + revision);
                }
            }
            return Optional.empty();
        }
    },
    /** An accepted revision is in force on every entry that admits work. */
    IN_FORCE_EVERYWHERE {
        @Override
        Optional<String> violation(Scene scene) {
            long accepted = scene.acceptedRevision();
            Set<String> behind = new HashSet<>();
            for (VirtualEntry entry : scene.site().entries().values()) {
                if (scene.admits(entry) && entry.world().configuration().revision() < accepted) {
                    behind.add(entry.id());
                }
            }
            return behind.isEmpty()
                    ? Optional.empty()
                    : Optional.of("revision " + accepted + " is not in force on " + behind);
        }
    };

    /** Returns what violates the promise now, or empty. */
    abstract Optional<String> violation(Scene scene);
}
