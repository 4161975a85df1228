package org.hibiscususher.core.scheduler.control;

import org.hibiscususher.core.scheduler.admission.ForwardLimitSystem;
import org.hibiscususher.core.scheduler.estimate.RunTimeRecordSystem;
import org.hibiscususher.core.scheduler.evacuation.ZoneEvacuationSystem;
import org.hibiscususher.core.scheduler.executor.DrainingExecutorSystem;
import org.hibiscususher.core.scheduler.executor.ExecutorSystem;
import org.hibiscususher.core.scheduler.executor.HeartbeatSystem;
import org.hibiscususher.core.scheduler.executor.LostExecutorSystem;
import org.hibiscususher.core.scheduler.executor.RunOrderSystem;
import org.hibiscususher.core.scheduler.executor.StragglerSystem;
import org.hibiscususher.core.scheduler.executor.ThrottleSystem;
import org.hibiscususher.core.scheduler.executor.UncertainTaskSystem;
import org.hibiscususher.core.scheduler.host.HostListSystem;
import org.hibiscususher.core.scheduler.host.HostMoveSystem;
import org.hibiscususher.core.scheduler.host.HostOrderSystem;
import org.hibiscususher.core.scheduler.host.WaveSystem;
import org.hibiscususher.core.scheduler.job.JobRequestSystem;
import org.hibiscususher.core.scheduler.job.JobSystem;
import org.hibiscususher.core.scheduler.placement.AdviceSystem;
import org.hibiscususher.core.scheduler.placement.PlacementSystem;
import org.hibiscususher.core.scheduler.term.CommitSystem;
import org.hibiscususher.core.scheduler.term.HandoverSystem;
import org.hibiscususher.core.scheduler.term.TermSystem;
import org.hibiscususher.core.scheduler.world.SchedulerTick;

/**
 * The systems of the scheduler, in the order in which each tick runs them.
 *
 * <p>Configuration, ownership and results of the store come first, because all other systems depend
 * on them. The commit comes last, so that it covers the changes of the whole tick.
 */
enum SchedulerPhase {
    CONFIGURATION {
        @Override
        void run(SchedulerTick tick) {
            ConfigurationSystem.run(tick);
        }
    },
    HANDOVER {
        @Override
        void run(SchedulerTick tick) {
            HandoverSystem.run(tick);
        }
    },
    TERM {
        @Override
        void run(SchedulerTick tick) {
            TermSystem.run(tick);
        }
    },
    COMMIT_RESULTS {
        @Override
        void run(SchedulerTick tick) {
            CommitSystem.handleResults(tick);
        }
    },
    EXECUTOR {
        @Override
        void run(SchedulerTick tick) {
            ExecutorSystem.run(tick);
        }
    },
    RUN_ORDER {
        @Override
        void run(SchedulerTick tick) {
            RunOrderSystem.run(tick);
        }
    },
    ZONE_EVACUATION {
        @Override
        void run(SchedulerTick tick) {
            ZoneEvacuationSystem.run(tick);
        }
    },
    UNCERTAIN_TASK {
        @Override
        void run(SchedulerTick tick) {
            UncertainTaskSystem.run(tick);
        }
    },
    NODE_LIFECYCLE {
        @Override
        void run(SchedulerTick tick) {
            NodeLifecycleSystem.run(tick);
        }
    },
    FORWARD_LIMIT {
        @Override
        void run(SchedulerTick tick) {
            ForwardLimitSystem.run(tick);
        }
    },
    JOB_REQUEST {
        @Override
        void run(SchedulerTick tick) {
            JobRequestSystem.run(tick);
        }
    },
    JOB {
        @Override
        void run(SchedulerTick tick) {
            JobSystem.run(tick);
        }
    },
    HOST_LIST {
        @Override
        void run(SchedulerTick tick) {
            HostListSystem.run(tick);
        }
    },
    LOST_EXECUTOR {
        @Override
        void run(SchedulerTick tick) {
            LostExecutorSystem.run(tick);
        }
    },
    WAVE {
        @Override
        void run(SchedulerTick tick) {
            WaveSystem.run(tick);
        }
    },
    HOST_MOVE {
        @Override
        void run(SchedulerTick tick) {
            HostMoveSystem.run(tick);
        }
    },
    HOST_ORDER {
        @Override
        void run(SchedulerTick tick) {
            HostOrderSystem.run(tick);
        }
    },
    THROTTLE {
        @Override
        void run(SchedulerTick tick) {
            ThrottleSystem.run(tick);
        }
    },
    STRAGGLER {
        @Override
        void run(SchedulerTick tick) {
            StragglerSystem.run(tick);
        }
    },
    DRAINING_EXECUTOR {
        @Override
        void run(SchedulerTick tick) {
            DrainingExecutorSystem.run(tick);
        }
    },
    ADVICE {
        @Override
        void run(SchedulerTick tick) {
            AdviceSystem.run(tick);
        }
    },
    PLACEMENT {
        @Override
        void run(SchedulerTick tick) {
            PlacementSystem.run(tick);
        }
    },
    HEARTBEAT {
        @Override
        void run(SchedulerTick tick) {
            HeartbeatSystem.run(tick);
        }
    },
    RUN_TIME_RECORD {
        @Override
        void run(SchedulerTick tick) {
            RunTimeRecordSystem.run(tick);
        }
    },
    COMMIT {
        @Override
        void run(SchedulerTick tick) {
            CommitSystem.send(tick);
        }
    };

    /** Runs the system once. */
    abstract void run(SchedulerTick tick);
}
