package org.hibiscususher.standin.scheduler;

import java.util.Random;

/** Faults of a site, each at its own worst or at some moment. */
enum SiteFault {
    NONE {
        @Override
        void strike(SchedulerSite site, Random random) {}
    },
    OWNER_KILLED {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.owner().ifPresent(owner -> site.kill(owner, 500 + random.nextInt(2_500)));
        }
    },
    OWNER_FROZEN {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.owner().ifPresent(owner -> site.freeze(owner, 500 + random.nextInt(5_000)));
        }
    },
    OWNER_STOPPED {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.owner().ifPresent(owner -> site.shutDown(owner, 3_500));
        }
    },
    OWNER_CUT_FROM_STORE {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.owner()
                    .ifPresent(owner -> site.cutOffFromStore(owner, 1_000 + random.nextInt(8_000)));
        }
    },
    OWNER_CUT_FROM_EXECUTOR {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.owner().ifPresent(owner -> site.cutLink(owner, "x0", 6_000));
        }
    },
    ALL_KILLED {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.killAll(800 + random.nextInt(600));
        }
    },
    STORE_DOWN {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.storeDown(1_000 + random.nextInt(5_000));
        }
    },
    ANSWERS_LOST {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.dropCommitResponses(0.35, false, 4_500);
        }
    },
    ANSWERS_LOST_WRITES_LATE {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.dropCommitResponses(0.35, true, 4_500);
        }
    },
    EXECUTOR_DARK {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.silenceExecutor("x1", 1_000 + random.nextInt(7_000));
        }
    },
    EXECUTOR_RESTARTED {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.restartExecutor("x2");
        }
    },
    EXECUTOR_FAILS_ALL {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.failAllRuns("x0", 4_000);
        }
    },
    ORDERS_LATE {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.delayOrders(0.3, 5_000);
        }
    },
    OWNERS_STOPPED_IN_SERIES {
        @Override
        void strike(SchedulerSite site, Random random) {
            site.silenceExecutor("x1", 900);
            for (int i = 0; i < 3; i++) {
                site.schedule(
                        50 + i * (200 + random.nextInt(200)),
                        () -> site.owner().ifPresent(owner -> site.shutDown(owner, 3_500)));
            }
        }
    };

    /** Makes the fault happen now. */
    abstract void strike(SchedulerSite site, Random random);
}
