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

/** Deliberately broken systems: each changes tables between ticks so that one promise breaks. */
enum Mutant {
    /** Invents units and slots. */
    INVENTS_PERMITS(Promise.UPPER_LIMIT, Promise.HOST_SLOTS) {
        @Override
        void tamper(VirtualEntry entry) {
            invent(entry.world(), PermitKey.unit("alpha"));
            invent(entry.world(), PermitKey.unit("beta"));
            invent(entry.world(), PermitKey.slot("quick", "h1"));
        }
    },
    /** Uses slots of a host for another pool than the one that it serves. */
    SERVES_TWO_POOLS(Promise.ONE_POOL) {
        @Override
        void tamper(VirtualEntry entry) {
            PermitKey key = PermitKey.slot("quick", "h5");
            HoldingRow used = HoldingRow.none(key).withGranted(1).plusInUse(1);
            entry.world().holdings().put(key, used);
        }
    },
    /** Takes a key that was never given. */
    TAKES_STRANGERS(Promise.KEYS) {
        @Override
        void tamper(VirtualEntry entry) {
            KeyDigest digest = KeyDigest.ofSecret(Scene.STRANGER);
            entry.world().accessKeys().put(digest, new KeySpec("forged", "gamma", digest));
        }
    },
    /** Queues running requests again. */
    FORGETS_ATTEMPTS(Promise.AT_MOST_ONCE) {
        @Override
        void tamper(VirtualEntry entry) {
            for (RequestRow row : entry.world().requests().rows()) {
                if (row.state() == RequestState.RUNNING && row.attempt() == 1) {
                    entry.world()
                            .requests()
                            .put(row.id(), row.withState(RequestState.WAITING, List.of()));
                }
            }
        }
    },
    /** Queues requests again that have ended. */
    REVIVES_REQUESTS(Promise.ENDS_ONCE) {
        @Override
        void tamper(VirtualEntry entry) {
            for (RequestRow row : entry.world().requests().rows()) {
                if (row.state() == RequestState.RUNNING) {
                    long copy = -row.id();
                    entry.world().requests().put(copy, row.withState(row.state(), List.of()));
                }
            }
            entry.world().requests().rows().stream()
                    .filter(r -> !entry.world().requests().contains(r.id()))
                    .findFirst()
                    .ifPresent(r -> revive(entry.world(), r));
        }

        private void revive(World world, RequestRow row) {
            world.requests().remove(-row.id());
            world.requests().put(row.id(), row.withState(RequestState.WAITING, List.of()));
        }
    },
    /** Lets the wait limit strike while requests run. */
    REFUSES_RUNNING(Promise.NOT_RUN) {
        @Override
        void tamper(VirtualEntry entry) {
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
    /** Shuts a host down on one entry and leaves it in service on the others. */
    DRAINS_ALONE(Promise.DRAINED_TARGET) {
        @Override
        void tamper(VirtualEntry entry) {
            if (entry.id().equals("e1")) {
                entry.world().hosts().update("h1", h -> h.withService("quick", HostStage.RECALLED));
            }
        }
    },
    /** Forgets which slots are out, so that hosts count as idle while they run work. */
    FORGETS_SLOTS(Promise.NOTHING_CUT) {
        @Override
        void tamper(VirtualEntry entry) {
            entry.world().ledger().rows().stream()
                    .filter(l -> l.key().kind() == PermitKind.SLOT)
                    .forEach(l -> entry.world().ledger().remove(l.key()));
        }
    },
    /** Believes that any number of hosts may be down. */
    IGNORES_BUDGETS(Promise.AVAILABILITY_BUDGET) {
        @Override
        void tamper(VirtualEntry entry) {
            World world = entry.world();
            Configuration seen = world.configuration();
            SortedMap<String, PoolSpec> pools = new TreeMap<>();
            for (PoolSpec pool : seen.pools().values()) {
                AvailabilityBudget any = new AvailabilityBudget(ANY_NUMBER, ANY_NUMBER);
                pools.put(pool.id(), new PoolSpec(pool.id(), pool.quickReserve(), any, false));
            }
            Configuration loose =
                    new Configuration(
                            seen.revision(),
                            pools,
                            seen.hosts(),
                            seen.teams(),
                            seen.keys(),
                            seen.queues());
            world.revisionTable().put(World.SELF, new RevisionRow(loose, 0));
        }
    },
    /** Falls back to the configuration before the first note, now and then. */
    GOES_BACK(Promise.FORWARD_ONLY, Promise.IN_FORCE_EVERYWHERE) {
        @Override
        void tamper(VirtualEntry entry) {
            if (entry.ticks() > 300) {
                entry.world()
                        .revisionTable()
                        .put(World.SELF, new RevisionRow(Configuration.EMPTY, 0));
            }
        }
    };

    private static final int INVENTED = 40;
    private static final int ANY_NUMBER = 99;

    private final List<Promise> mBroken;

    Mutant(Promise... broken) {
        mBroken = List.of(broken);
    }

    /** Returns the promises that the mutant breaks. */
    List<Promise> broken() {
        return mBroken;
    }

    /** Returns the step in which the mutant is looked at. */
    Step step() {
        return this == FORGETS_SLOTS || this == IGNORES_BUDGETS
                ? Step.WAVE_REBOOTING
                : Step.REQUEST_WAITING;
    }

    /** Breaks an entry before one of its ticks. */
    abstract void tamper(VirtualEntry entry);

    private static void invent(World world, PermitKey key) {
        HoldingRow row = world.holdings().find(key).orElse(HoldingRow.none(key));
        if (row.held() < INVENTED) {
            world.holdings().put(key, row.withGranted(row.granted() + INVENTED));
        }
    }
}
