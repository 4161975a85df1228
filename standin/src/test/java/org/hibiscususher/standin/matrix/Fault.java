package org.hibiscususher.standin.matrix;

import java.util.List;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.standin.store.StoreFault;
import org.hibiscususher.standin.virtual.ProcessState;
import org.hibiscususher.standin.virtual.TargetFault;
import org.hibiscususher.standin.virtual.VirtualEntry;
import org.hibiscususher.standin.virtual.VirtualRequest;
import org.hibiscususher.standin.virtual.VirtualSite;

/** The columns of the fault matrix: what goes wrong. */
enum Fault {
    /** The entry's process ends at once. */
    KILLED {
        @Override
        void inject(Scene scene, String entry) {
            scene.kill(entry);
        }
    },
    /** The entry's process ends at once and starts again soon after. */
    RESTARTED {
        @Override
        void inject(Scene scene, String entry) {
            scene.kill(entry);
            scene.site().clock().after(RESTART_MS, () -> scene.restart(entry));
        }
    },
    /** The entry's process is stopped past every lease and goes on. */
    PAUSED {
        @Override
        void inject(Scene scene, String entry) {
            if (scene.entry(entry).processState() == ProcessState.RUNNING) {
                scene.site().pause(entry);
            }
        }
    },
    /** What the entry sends to its peers is lost. */
    CUT_ONE_WAY {
        @Override
        void inject(Scene scene, String entry) {
            scene.others(entry).forEach(o -> scene.site().network().setCut(entry, o, true));
        }
    },
    /** The entry and its peers lose each other. */
    CUT_BOTH_WAYS {
        @Override
        void inject(Scene scene, String entry) {
            CUT_ONE_WAY.inject(scene, entry);
            scene.others(entry).forEach(o -> scene.site().network().setCut(o, entry, true));
        }
    },
    /** The entry loses its peers and the store. */
    ISOLATED {
        @Override
        void inject(Scene scene, String entry) {
            CUT_BOTH_WAYS.inject(scene, entry);
            scene.site().store().setReachable(entry, false);
        }
    },
    /** Messages between entries are lost, doubled and overtake each other. */
    MESSAGES_UNRELIABLE {
        @Override
        void inject(Scene scene, String entry) {
            scene.site().network().setLinkBehaviour(1, 40, 0.3, 0.3);
        }
    },
    /** The store does nothing. */
    STORE_DOWN {
        @Override
        void inject(Scene scene, String entry) {
            scene.site().store().setFault(StoreFault.DOWN);
        }
    },
    /** The store answers late. */
    STORE_SLOW {
        @Override
        void inject(Scene scene, String entry) {
            scene.site().store().setFault(StoreFault.SLOW);
        }
    },
    /** The store's answers are lost after the writes have taken effect. */
    STORE_LOSES_ANSWERS {
        @Override
        void inject(Scene scene, String entry) {
            scene.site().store().setFault(StoreFault.LOSES_ANSWERS);
        }
    },
    /** Watches show nothing. */
    WATCH_FROZEN {
        @Override
        void inject(Scene scene, String entry) {
            scene.site().store().setFault(StoreFault.FROZEN_WATCH);
        }
    },
    /** The platform's list still shows what has gone and lacks what has come. */
    HOST_LIST_STALE {
        @Override
        void inject(Scene scene, String entry) {
            scene.freezeHostList();
        }
    },
    /** Half of the targets take no connection. */
    TARGETS_UNREACHABLE {
        @Override
        void inject(Scene scene, String entry) {
            scene.breakTargets(TargetFault.UNREACHABLE);
        }
    },
    /** Half of the targets decline everything. */
    TARGETS_CLOSING {
        @Override
        void inject(Scene scene, String entry) {
            scene.breakTargets(TargetFault.DECLINING);
        }
    },
    /** Half of the targets fail all that they start. */
    TARGETS_FAILING {
        @Override
        void inject(Scene scene, String entry) {
            scene.breakTargets(TargetFault.BROKEN_CONNECTION);
        }
    },
    /** Half of the targets cut their answers short. */
    TARGETS_CUTTING_SHORT {
        @Override
        void inject(Scene scene, String entry) {
            scene.breakTargets(TargetFault.TRUNCATED_RESPONSE);
        }
    },
    /** Half of the targets are slow; some answers come after the run limit. */
    TARGETS_SLOW {
        @Override
        void inject(Scene scene, String entry) {
            scene.breakTargets(TargetFault.SLOW);
        }
    },
    /** All callers go away at once. */
    CANCELLATIONS {
        @Override
        void inject(Scene scene, String entry) {
            VirtualSite site = scene.site();
            List<VirtualRequest> open =
                    site.requests().values().stream()
                            .filter(r -> !r.isFinished())
                            .filter(r -> scene.alive(r.entry()))
                            .toList();
            open.forEach(site::cancel);
        }
    },
    /** Two operators change the same team through two entries. */
    OPERATORS_RACING {
        @Override
        void inject(Scene scene, String entry) {
            Configuration seen = scene.entry(entry).world().configuration();
            String other = scene.others(entry).get(0);
            scene.submit(entry, SceneNotes.limit("race-one", 7, seen.revision()));
            scene.submit(other, SceneNotes.limit("race-two", 5, seen.revision()));
        }
    },
    /** All entries and targets of a zone are lost. */
    ZONE_LOST {
        @Override
        void inject(Scene scene, String entry) {
            String zone = scene.entry(entry).identity().zone();
            for (VirtualEntry lost : List.copyOf(scene.site().entries().values())) {
                if (lost.identity().zone().equals(zone)) {
                    scene.kill(lost.id());
                    scene.site().clock().after(ZONE_MS, () -> scene.restart(lost.id()));
                }
            }
            scene.hostsOf(zone)
                    .forEach(h -> scene.site().target(h).setFault(TargetFault.UNREACHABLE));
        }
    };

    private static final long RESTART_MS = 300;
    private static final long ZONE_MS = 3_000;

    /** Lets the fault begin; {@link Scene#mend} ends it. */
    abstract void inject(Scene scene, String entry);
}
