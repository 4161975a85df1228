package org.hibiscususher.standin.matrix;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hibiscususher.core.config.AvailabilityBudget;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.PermitKind;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.HostStage;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.core.world.RevisionRow;
import org.hibiscususher.core.world.World;
import org.hibiscususher.standin.virtual.VirtualEntry;

/**
 * Deliberately broken systems, which show that the checks of {@link Invariant} detect violations: a
 * check that can never fail would make the fault matrix pass without testing anything. Each mutant
 * changes the tables of the entries between ticks so that the listed invariants are violated.
 */
enum Mutant {
    /** Adds permits (units and slots) that no allocator has granted. */
    INVENTS_PERMITS(Invariant.UPPER_LIMIT, Invariant.HOST_SLOTS) {
        @Override
        void corrupt(VirtualEntry entry) {
            addPermits(entry.world(), PermitKey.unit("alpha"));
            addPermits(entry.world(), PermitKey.unit("beta"));
            addPermits(entry.world(), PermitKey.slot("quick", "h1"));
        }
    },
    /** Uses a slot of a host in a pool to which the host does not belong. */
    SERVES_TWO_POOLS(Invariant.ONE_POOL_PER_HOST) {
        @Override
        void corrupt(VirtualEntry entry) {
            PermitKey key = PermitKey.slot("quick", "h5");
            HoldingRow used = HoldingRow.none(key).withGranted(1).plusInUse(1);
            entry.world().holdings().put(key, used);
        }
    },
    /** Accepts an access key that no release note has added. */
    ACCEPTS_UNKNOWN_KEY(Invariant.VALID_KEYS_ONLY) {
        @Override
        void corrupt(VirtualEntry entry) {
            KeyDigest digest = KeyDigest.ofSecret(FaultScenario.UNKNOWN_TEAM);
            entry.world().accessKeys().put(digest, new KeySpec("forged", "gamma", digest));
        }
    },
    /** Returns running requests to the queue, so that they run a second time. */
    REQUEUES_RUNNING_REQUESTS(Invariant.AT_MOST_ONCE) {
        @Override
        void corrupt(VirtualEntry entry) {
            for (RequestRow row : entry.world().requests().rows()) {
                if (row.state() == RequestState.RUNNING && row.attempt() == 1) {
                    entry.world()
                            .requests()
                            .put(row.id(), row.withState(RequestState.WAITING, List.of()));
                }
            }
        }
    },
    /** Returns finished requests to the queue, from copies kept under the negated request id. */
    REQUEUES_FINISHED_REQUESTS(Invariant.NO_RUN_AFTER_END) {
        @Override
        void corrupt(VirtualEntry entry) {
            for (RequestRow row : entry.world().requests().rows()) {
                if (row.state() == RequestState.RUNNING) {
                    long copy = -row.id();
                    entry.world().requests().put(copy, row.withState(row.state(), List.of()));
                }
            }
            entry.world().requests().rows().stream()
                    .filter(r -> !entry.world().requests().contains(r.id()))
                    .findFirst()
                    .ifPresent(r -> requeue(entry.world(), r));
        }

        private void requeue(World world, RequestRow row) {
            world.requests().remove(-row.id());
            world.requests().put(row.id(), row.withState(RequestState.WAITING, List.of()));
        }
    },
    /** Expires the wait limit of running requests, so that they are refused as not run. */
    EXPIRES_RUNNING_REQUESTS(Invariant.NOT_RUN_IS_TRUE) {
        @Override
        void corrupt(VirtualEntry entry) {
            for (RequestRow row : entry.world().requests().rows()) {
                if (row.state() == RequestState.RUNNING) {
                    entry.world().requests().put(row.id(), expired(row));
                }
            }
        }

        private RequestRow expired(RequestRow row) {
            return new RequestRow(
                    row.arrival(),
                    row.team(),
                    row.pool(),
                    row.kind(),
                    row.runLimitMs(),
                    row.arrivedMs(),
                    0,
                    RequestState.WAITING,
                    row.attempt(),
                    row.startedMs(),
                    false,
                    row.triedHosts(),
                    List.of());
        }
    },
    /** Drains a host on one entry only; the others keep sending it work. */
    DRAINS_ON_ONE_ENTRY(Invariant.NO_WORK_ON_DRAINED_HOST) {
        @Override
        void corrupt(VirtualEntry entry) {
            if (entry.id().equals("e1")) {
                entry.world().hosts().update("h1", h -> h.withService("quick", HostStage.RECALLED));
            }
        }
    },
    /** Drops the allocation ledger of slots, so that hosts that run requests count as idle. */
    FORGETS_GRANTED_SLOTS(Invariant.REBOOTS_IDLE_HOSTS_ONLY) {
        @Override
        void corrupt(VirtualEntry entry) {
            entry.world().ledger().rows().stream()
                    .filter(l -> l.key().kind() == PermitKind.SLOT)
                    .forEach(l -> entry.world().ledger().remove(l.key()));
        }
    },
    /** Raises the availability budgets until any number of hosts may be out of service. */
    IGNORES_AVAILABILITY_BUDGET(Invariant.AVAILABILITY_BUDGET) {
        @Override
        void corrupt(VirtualEntry entry) {
            World world = entry.world();
            Configuration current = world.configuration();
            SortedMap<String, PoolSpec> pools = new TreeMap<>();
            for (PoolSpec pool : current.pools().values()) {
                AvailabilityBudget unlimited = new AvailabilityBudget(ANY_NUMBER, ANY_NUMBER);
                pools.put(
                        pool.id(), new PoolSpec(pool.id(), pool.quickReserve(), unlimited, false));
            }
            Configuration relaxed =
                    new Configuration(
                            current.revision(),
                            pools,
                            current.hosts(),
                            current.teams(),
                            current.keys(),
                            current.queues());
            world.revisionTable().put(World.SELF, new RevisionRow(relaxed, 0));
        }
    },
    /** Reverts each entry, after its first 300 ticks, to the empty configuration. */
    REVERTS_CONFIGURATION(
            Invariant.REVISION_NEVER_DECREASES, Invariant.ACCEPTED_REVISION_IN_FORCE) {
        @Override
        void corrupt(VirtualEntry entry) {
            if (entry.ticks() > 300) {
                entry.world()
                        .revisionTable()
                        .put(World.SELF, new RevisionRow(Configuration.EMPTY, 0));
            }
        }
    };

    private static final int INVENTED_PERMITS = 40;
    private static final int ANY_NUMBER = 99;

    private final List<Invariant> mViolated;

    Mutant(Invariant... violated) {
        mViolated = List.of(violated);
    }

    /** Returns the invariants that the mutant must violate. */
    List<Invariant> violated() {
        return mViolated;
    }

    /**
     * Returns the injection point to which a scenario with this mutant runs; no fault is injected.
     */
    InjectionPoint point() {
        return this == FORGETS_GRANTED_SLOTS || this == IGNORES_AVAILABILITY_BUDGET
                ? InjectionPoint.WAVE_REBOOTING
                : InjectionPoint.REQUEST_WAITING;
    }

    /** Changes the tables of an entry; called for each entry in each virtual millisecond. */
    abstract void corrupt(VirtualEntry entry);

    private static void addPermits(World world, PermitKey key) {
        HoldingRow row = world.holdings().find(key).orElse(HoldingRow.none(key));
        if (row.held() < INVENTED_PERMITS) {
            world.holdings().put(key, row.withGranted(row.granted() + INVENTED_PERMITS));
        }
    }
}
