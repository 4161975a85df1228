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

/** The rows of the fault matrix: when it goes wrong. Each names the entry that is in the step. */
enum Step {
    /** A request has reached an entry that has not yet looked at it. */
    REQUEST_ARRIVED {
        @Override
        Optional<String> reached(Scene scene) {
            return Optional.of(scene.burst("e2", 1));
        }
    },
    /** Requests wait for permits. */
    REQUEST_WAITING {
        @Override
        void begin(Scene scene) {
            scene.burst("e2", BURST);
        }

        @Override
        Optional<String> reached(Scene scene) {
            return withRequest(scene, RequestState.WAITING);
        }
    },
    /** A request runs on a target. */
    REQUEST_RUNNING {
        @Override
        Optional<String> reached(Scene scene) {
            return withRequest(scene, RequestState.RUNNING);
        }
    },
    /** A request's caller has gone while it runs on a target. */
    REQUEST_ABANDONED {
        @Override
        Optional<String> reached(Scene scene) {
            for (VirtualRequest request : scene.site().requests().values()) {
                if (!request.isFinished() && request.runCount() > 0) {
                    scene.site().cancel(request);
                    return Optional.of(request.entry());
                }
            }
            return Optional.empty();
        }
    },
    /** An entry reads the head for an operator's note. */
    NOTE_READING {
        @Override
        void begin(Scene scene) {
            scene.submit("e1", SceneNotes.limit("step", 8));
        }

        @Override
        Optional<String> reached(Scene scene) {
            return withNote(scene, PendingNoteState.READING);
        }
    },
    /** An entry writes an operator's note. */
    NOTE_WRITING {
        @Override
        void begin(Scene scene) {
            scene.submit("e1", SceneNotes.limit("step", 8));
        }

        @Override
        Optional<String> reached(Scene scene) {
            return withNote(scene, PendingNoteState.WRITING);
        }
    },
    /** A note is written and goes round. */
    NOTE_ROLLING_OUT {
        @Override
        void begin(Scene scene) {
            scene.submit("e1", SceneNotes.limit("step", 8));
        }

        @Override
        Optional<String> reached(Scene scene) {
            return withNote(scene, PendingNoteState.ROLLING_OUT);
        }
    },
    /** A note that withdraws a key is being written. */
    KEY_WITHDRAWAL {
        @Override
        void begin(Scene scene) {
            scene.withdrawKey("e1");
        }

        @Override
        Optional<String> reached(Scene scene) {
            return withNote(scene, PendingNoteState.WRITING);
        }
    },
    /** A team's upper limit is lowered while its requests run. */
    LIMIT_LOWERING {
        @Override
        void begin(Scene scene) {
            scene.burst("e1", BURST);
            scene.submit("e1", SceneNotes.limit("step", 2));
        }

        @Override
        Optional<String> reached(Scene scene) {
            return withNote(scene, PendingNoteState.ROLLING_OUT);
        }
    },
    /** Permits flow to an entry whose callers ask for much. */
    PERMITS_MOVING {
        @Override
        void begin(Scene scene) {
            scene.remember(held(scene));
            scene.burst("e3", BURST);
        }

        @Override
        Optional<String> reached(Scene scene) {
            return held(scene) == scene.remembered() ? Optional.empty() : Optional.of("e3");
        }

        private int held(Scene scene) {
            return scene.entry("e3")
                    .world()
                    .holdings()
                    .find(PermitKey.unit("alpha"))
                    .map(h -> h.held())
                    .orElse(0);
        }
    },
    /** A host is recalled from its pool. */
    HOST_MOVING {
        @Override
        void begin(Scene scene) {
            scene.moveHost("e1", "h2", "long");
        }

        @Override
        Optional<String> reached(Scene scene) {
            return find(
                    scene,
                    e ->
                            e.world()
                                    .hosts()
                                    .find("h2")
                                    .map(h -> h.stage() == HostStage.RECALLED)
                                    .orElse(false));
        }
    },
    /** A host is recalled for a wave. */
    WAVE_RECALLING {
        @Override
        void begin(Scene scene) {
            scene.startWave("e1");
        }

        @Override
        Optional<String> reached(Scene scene) {
            return find(
                    scene,
                    e ->
                            e.world().hosts().rows().stream()
                                    .anyMatch(h -> h.stage() == HostStage.RECALLED));
        }
    },
    /** A host is rebooting for a wave. */
    WAVE_REBOOTING {
        @Override
        void begin(Scene scene) {
            scene.startWave("e1");
        }

        @Override
        Optional<String> reached(Scene scene) {
            boolean rebooting =
                    scene.rebooting("quick").size() + scene.rebooting("long").size() > 0;
            return rebooting ? Optional.of("e1") : Optional.empty();
        }
    },
    /** A new entry joins. */
    MEMBER_JOINING {
        @Override
        void begin(Scene scene) {
            scene.site().start("e5", "z2");
        }

        @Override
        Optional<String> reached(Scene scene) {
            return find(scene, e -> e.world().node().stage() == NodeStage.JOINING);
        }
    },
    /** An entry finishes its work and leaves. */
    MEMBER_LEAVING {
        @Override
        void begin(Scene scene) {
            scene.site().shutDown("e3");
        }

        @Override
        Optional<String> reached(Scene scene) {
            return find(scene, e -> e.world().node().stage() == NodeStage.LEAVING);
        }
    },
    /** An entry has just died and its peers have not yet noticed. */
    MEMBER_DYING {
        @Override
        Optional<String> reached(Scene scene) {
            scene.kill("e4");
            return Optional.of("e1");
        }
    };

    private static final int BURST = 60;

    /** Starts what leads to the step. */
    void begin(Scene scene) {}

    /** Returns the entry that is in the step now, or empty if none is. */
    abstract Optional<String> reached(Scene scene);

    private static Optional<String> withRequest(Scene scene, RequestState state) {
        return find(
                scene, e -> e.world().requests().rows().stream().anyMatch(r -> r.state() == state));
    }

    private static Optional<String> withNote(Scene scene, PendingNoteState state) {
        return find(
                scene,
                e -> e.world().pendingNotes().rows().stream().anyMatch(n -> n.state() == state));
    }

    private static Optional<String> find(Scene scene, Predicate<VirtualEntry> predicate) {
        return scene.site().entries().values().stream()
                .filter(e -> scene.alive(e.id()))
                .filter(predicate)
                .map(VirtualEntry::id)
                .findFirst();
    }
}
