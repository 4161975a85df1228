package org.hibiscususher.core.control;

import org.hibiscususher.core.escrow.EscrowSystem;
import org.hibiscususher.core.membership.LinkSystem;
import org.hibiscususher.core.membership.MembershipSystem;
import org.hibiscususher.core.request.AdmissionSystem;
import org.hibiscususher.core.request.PlacementSystem;
import org.hibiscususher.core.request.RecheckSystem;
import org.hibiscususher.core.request.RetrySystem;
import org.hibiscususher.core.rollout.FreshnessSystem;
import org.hibiscususher.core.rollout.NoteSystem;
import org.hibiscususher.core.rollout.RollOutSystem;
import org.hibiscususher.core.world.Tick;

/** The systems, in the order in which each tick runs them. */
enum Phase {
    FRESHNESS {
        @Override
        void run(Tick tick) {
            FreshnessSystem.run(tick);
        }
    },
    MEMBERSHIP {
        @Override
        void run(Tick tick) {
            MembershipSystem.run(tick);
        }
    },
    ROLL_OUT {
        @Override
        void run(Tick tick) {
            RollOutSystem.run(tick);
        }
    },
    NOTE {
        @Override
        void run(Tick tick) {
            NoteSystem.run(tick);
        }
    },
    RECHECK {
        @Override
        void run(Tick tick) {
            RecheckSystem.run(tick);
        }
    },
    RETRY {
        @Override
        void run(Tick tick) {
            RetrySystem.run(tick);
        }
    },
    ESCROW {
        @Override
        void run(Tick tick) {
            EscrowSystem.run(tick);
        }
    },
    ADMISSION {
        @Override
        void run(Tick tick) {
            AdmissionSystem.run(tick);
        }
    },
    PLACEMENT {
        @Override
        void run(Tick tick) {
            PlacementSystem.run(tick);
        }
    },
    STATUS {
        @Override
        void run(Tick tick) {
            StatusSystem.run(tick);
        }
    },
    LINK {
        @Override
        void run(Tick tick) {
            LinkSystem.run(tick);
        }
    };

    /** Runs the system once. */
    abstract void run(Tick tick);
}
