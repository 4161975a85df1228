package org.hibiscususher.standin.bench;

import org.hibiscususher.core.scheduler.estimate.RunTimePrediction;

/** Orders the waiting jobs of a pool; the job of the least value starts its next task. */
enum StartPolicy {
    /** Least remaining work first, by the declared estimate. */
    DECLARED {
        @Override
        double order(PolicyJob job, RunTimePrediction prediction) {
            return job.remainingTasks() * job.declaredMs();
        }
    },
    /** Least remaining work first, by the median duration of earlier runs. */
    LEARNED {
        @Override
        double order(PolicyJob job, RunTimePrediction prediction) {
            return prediction.isSupported()
                    ? job.remainingTasks() * prediction.medianMs()
                    : DECLARED.order(job, prediction);
        }
    },
    /** Least remaining work first, by the declared estimate times the median ratio. */
    CORRECTED {
        @Override
        double order(PolicyJob job, RunTimePrediction prediction) {
            return prediction.isSupported()
                    ? DECLARED.order(job, prediction) * prediction.medianRatio()
                    : DECLARED.order(job, prediction);
        }
    },
    /** Least remaining work first, by whichever of the three the scheduler goes by. */
    SCHEDULER {
        @Override
        double order(PolicyJob job, RunTimePrediction prediction) {
            long expectedMs = prediction.estimate(Math.round(job.declaredMs())).medianMs();
            return (double) job.remainingTasks() * expectedMs;
        }
    },
    /** Least processor time used so far first, without any estimate. */
    LEAST_ATTAINED {
        @Override
        double order(PolicyJob job, RunTimePrediction prediction) {
            return job.attainedMs();
        }
    };

    /** Returns the value by which a job is ordered. */
    abstract double order(PolicyJob job, RunTimePrediction prediction);
}
