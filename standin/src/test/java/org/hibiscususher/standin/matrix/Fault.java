package org.hibiscususher.standin.matrix;

import java.util.List;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.standin.store.StoreFault;
import org.hibiscususher.standin.virtual.ProcessState;
import org.hibiscususher.standin.virtual.TargetFault;
import org.hibiscususher.standin.virtual.VirtualEntry;
import org.hibiscususher.standin.virtual.VirtualRequest;
import org.hibiscususher.standin.virtual.VirtualSite;

/**
 * The columns of the fault matrix: what fails.
 *
 * <p>Where a fault affects a single entry, that is the entry reported by the {@link
 * InjectionPoint}.
 */
enum Fault {
    /** The entry's process is killed. */
    KILLED {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.kill(entry);
        }
    },
    /** The entry's process is killed and restarted soon after as a new incarnation. */
    RESTARTED {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.kill(entry);
            scenario.site().clock().after(RESTART_DELAY_MS, () -> scenario.restart(entry));
        }
    },
    /** The entry's process is suspended until all its leases have expired, then resumed. */
    PAUSED {
        @Override
        void inject(FaultScenario scenario, String entry) {
            if (scenario.entry(entry).processState() == ProcessState.RUNNING) {
                scenario.site().pause(entry);
            }
        }
    },
    /** Messages from the entry to its peers are lost; those from its peers arrive. */
    CUT_ONE_WAY {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.others(entry).forEach(o -> scenario.site().network().setCut(entry, o, true));
        }
    },
    /** Messages between the entry and its peers are lost in both directions. */
    CUT_BOTH_WAYS {
        @Override
        void inject(FaultScenario scenario, String entry) {
            CUT_ONE_WAY.inject(scenario, entry);
            scenario.others(entry).forEach(o -> scenario.site().network().setCut(o, entry, true));
        }
    },
    /** The entry reaches neither its peers nor the store. */
    ISOLATED {
        @Override
        void inject(FaultScenario scenario, String entry) {
            CUT_BOTH_WAYS.inject(scenario, entry);
            scenario.site().store().setReachable(entry, false);
        }
    },
    /** Messages between all entries are delayed, lost, duplicated and reordered. */
    MESSAGES_UNRELIABLE {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.site().network().setLinkBehaviour(1, 40, 0.3, 0.3);
        }
    },
    /** The store neither executes nor answers calls. */
    STORE_DOWN {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.site().store().setFault(StoreFault.DOWN);
        }
    },
    /** The store answers with a delay. */
    STORE_SLOW {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.site().store().setFault(StoreFault.SLOW);
        }
    },
    /** The store executes calls, but its answers are lost: writers can't know the outcome. */
    STORE_LOSES_ANSWERS {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.site().store().setFault(StoreFault.LOSES_ANSWERS);
        }
    },
    /** Watches of the store deliver no changes. */
    WATCH_FROZEN {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.site().store().setFault(StoreFault.FROZEN_WATCH);
        }
    },
    /** The platform's host list is stale: ended hosts stay listed, new ones are missing. */
    HOST_LIST_STALE {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.freezeHostList();
        }
    },
    /** The targets of one zone, half of all, accept no connection. */
    TARGETS_UNREACHABLE {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.setTargetFault(TargetFault.UNREACHABLE);
        }
    },
    /** The targets of one zone decline every request, as during their shutdown. */
    TARGETS_CLOSING {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.setTargetFault(TargetFault.DECLINING);
        }
    },
    /** The targets of one zone start each request and close the connection before answering. */
    TARGETS_FAILING {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.setTargetFault(TargetFault.BROKEN_CONNECTION);
        }
    },
    /** The targets of one zone truncate each response. */
    TARGETS_CUTTING_SHORT {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.setTargetFault(TargetFault.TRUNCATED_RESPONSE);
        }
    },
    /** The targets of one zone are slow, some responses exceed the run limit. */
    TARGETS_SLOW {
        @Override
        void inject(FaultScenario scenario, String entry) {
            scenario.setTargetFault(TargetFault.SLOW);
        }
    },
    /** All callers disconnect at the same time. */
    CANCELLATIONS {
        @Override
        void inject(FaultScenario scenario, String entry) {
            VirtualSite site = scenario.site();
            List<VirtualRequest> open =
                    site.requests().values().stream()
                            .filter(r -> !r.isFinished())
                            .filter(r -> scenario.isRunning(r.entry()))
                            .toList();
            open.forEach(site::cancel);
        }
    },
    /** Two operators change the same team through two entries, based on the same revision. */
    OPERATORS_RACING {
        @Override
        void inject(FaultScenario scenario, String entry) {
            Configuration current = scenario.entry(entry).world().configuration();
            String other = scenario.others(entry).get(0);
            scenario.submit(entry, ScenarioNotes.changeLimit("race-one", 7, current.revision()));
            scenario.submit(other, ScenarioNotes.changeLimit("race-two", 5, current.revision()));
        }
    },
    /** All entries and targets of the entry's zone fail; its entries restart after a while. */
    ZONE_LOST {
        @Override
        void inject(FaultScenario scenario, String entry) {
            String zone = scenario.entry(entry).identity().zone();
            for (VirtualEntry lost : List.copyOf(scenario.site().entries().values())) {
                if (lost.identity().zone().equals(zone)) {
                    scenario.kill(lost.id());
                    scenario.site()
                            .clock()
                            .after(ZONE_RESTART_DELAY_MS, () -> scenario.restart(lost.id()));
                }
            }
            scenario.hostsOf(zone)
                    .forEach(h -> scenario.site().target(h).setFault(TargetFault.UNREACHABLE));
        }
    };

    private static final long RESTART_DELAY_MS = 300;
    private static final long ZONE_RESTART_DELAY_MS = 3_000;

    /**
     * Starts the fault; {@link FaultScenario#clearFaults} ends it.
     *
     * @param entry id of the entry to which the injection point applies
     */
    abstract void inject(FaultScenario scenario, String entry);
}
