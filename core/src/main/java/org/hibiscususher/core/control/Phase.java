package org.hibiscususher.core.control;

import org.hibiscususher.core.escrow.EscrowSystem;
import org.hibiscususher.core.maintenance.DrainSystem;
import org.hibiscususher.core.maintenance.FleetSyncSystem;
import org.hibiscususher.core.maintenance.FleetWriteSystem;
import org.hibiscususher.core.maintenance.LendSystem;
import org.hibiscususher.core.maintenance.MoveSystem;
import org.hibiscususher.core.maintenance.WaveCommandSystem;
import org.hibiscususher.core.maintenance.WaveMonitorSystem;
import org.hibiscususher.core.maintenance.WaveSystem;
import org.hibiscususher.core.membership.HostListSystem;
import org.hibiscususher.core.membership.MembershipSystem;
import org.hibiscususher.core.membership.PeerMessageSystem;
import org.hibiscususher.core.request.AdmissionSystem;
import org.hibiscususher.core.request.IdempotencySystem;
import org.hibiscususher.core.request.OutlierSystem;
import org.hibiscususher.core.request.PlacementSystem;
import org.hibiscususher.core.request.RetrySystem;
import org.hibiscususher.core.request.RevalidationSystem;
import org.hibiscususher.core.rollout.ConfigurationQuerySystem;
import org.hibiscususher.core.rollout.FreshnessSystem;
import org.hibiscususher.core.rollout.NoteCommitSystem;
import org.hibiscususher.core.rollout.RollOutSystem;
import org.hibiscususher.core.world.Tick;

/**
 * The systems of an entry, in the order in which each tick runs them.
 *
 * <p>The order matters: a system sees what those before it have changed in the same tick. Evidence
 * and configuration come first, then the ends of attempts, which release permits, then admission
 * and placement, which use them. {@link #PEER_MESSAGE} comes last, as it sends what the others have
 * for the peers.
 */
enum Phase implements TickSystem {
    FRESHNESS {
        @Override
        public void run(Tick tick) {
            FreshnessSystem.run(tick);
        }
    },
    MEMBERSHIP {
        @Override
        public void run(Tick tick) {
            MembershipSystem.run(tick);
        }
    },
    HOST_LIST {
        @Override
        public void run(Tick tick) {
            HostListSystem.run(tick);
        }
    },
    ROLL_OUT {
        @Override
        public void run(Tick tick) {
            RollOutSystem.run(tick);
        }
    },
    NOTE {
        @Override
        public void run(Tick tick) {
            NoteCommitSystem.run(tick);
        }
    },
    HISTORY {
        @Override
        public void run(Tick tick) {
            ConfigurationQuerySystem.run(tick);
        }
    },
    REVALIDATION {
        @Override
        public void run(Tick tick) {
            RevalidationSystem.run(tick);
        }
    },
    FLEET {
        @Override
        public void run(Tick tick) {
            FleetSyncSystem.run(tick);
        }
    },
    OUTLIER {
        @Override
        public void run(Tick tick) {
            OutlierSystem.run(tick);
        }
    },
    RETRY {
        @Override
        public void run(Tick tick) {
            RetrySystem.run(tick);
        }
    },
    ESCROW {
        @Override
        public void run(Tick tick) {
            EscrowSystem.run(tick);
        }
    },
    ADMISSION {
        @Override
        public void run(Tick tick) {
            AdmissionSystem.run(tick);
        }
    },
    IDEMPOTENCY {
        @Override
        public void run(Tick tick) {
            IdempotencySystem.run(tick);
        }
    },
    PLACEMENT {
        @Override
        public void run(Tick tick) {
            PlacementSystem.run(tick);
        }
    },
    DRAIN {
        @Override
        public void run(Tick tick) {
            DrainSystem.run(tick);
        }
    },
    MOVE {
        @Override
        public void run(Tick tick) {
            MoveSystem.run(tick);
        }
    },
    LEND {
        @Override
        public void run(Tick tick) {
            LendSystem.run(tick);
        }
    },
    WAVE {
        @Override
        public void run(Tick tick) {
            WaveSystem.run(tick);
        }
    },
    WAVE_MONITOR {
        @Override
        public void run(Tick tick) {
            WaveMonitorSystem.run(tick);
        }
    },
    WAVE_COMMAND {
        @Override
        public void run(Tick tick) {
            WaveCommandSystem.run(tick);
        }
    },
    FLEET_WRITE {
        @Override
        public void run(Tick tick) {
            FleetWriteSystem.run(tick);
        }
    },
    STATUS {
        @Override
        public void run(Tick tick) {
            StatusSystem.run(tick);
        }
    },
    PEER_MESSAGE {
        @Override
        public void run(Tick tick) {
            PeerMessageSystem.run(tick);
        }
    };
}
