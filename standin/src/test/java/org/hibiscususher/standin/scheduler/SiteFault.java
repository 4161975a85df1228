package org.hibiscususher.standin.scheduler;

import java.util.List;
import java.util.Random;

/**
 * Faults that the scheduler must survive without violating a {@link SchedulerInvariant}.
 *
 * <p>Each hits the component where it does most harm, such as the owner. Tests choose the moment at
 * random; constants keep their order because their ordinals select the seeds of pairs.
 */
enum SiteFault {
    /** No fault, so that pairs include each fault alone. */
    NONE {
        @Override
        void inject(SchedulerSite site, Random random) {}
    },
    /** The owner is killed and starts again after 0.5 to 3 s. */
    OWNER_KILLED {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.owner().ifPresent(owner -> site.kill(owner, 500 + random.nextInt(2_500)));
        }
    },
    /** The process of the owner is paused for 0.5 to 5.5 s. */
    OWNER_PAUSED {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.owner().ifPresent(owner -> site.freeze(owner, 500 + random.nextInt(5_000)));
        }
    },
    /** The owner shuts down in order and starts again after 3.5 s. */
    OWNER_STOPPED {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.owner().ifPresent(owner -> site.shutDown(owner, 3_500));
        }
    },
    /** The store is unreachable for the owner alone, for 1 to 9 s. */
    OWNER_CUT_FROM_STORE {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.owner()
                    .ifPresent(owner -> site.cutOffFromStore(owner, 1_000 + random.nextInt(8_000)));
        }
    },
    /** The owner can't reach one executor for 6 s, while the others can. */
    OWNER_CUT_FROM_EXECUTOR {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.owner().ifPresent(owner -> site.cutLink(owner, "x0", 6_000));
        }
    },
    /** All entries are killed and start again after 0.8 to 1.4 s. */
    ALL_ENTRIES_KILLED {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.killAll(800 + random.nextInt(600));
        }
    },
    /** The store is unreachable for all entries, for 1 to 6 s. */
    STORE_DOWN {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.storeDown(1_000 + random.nextInt(5_000));
        }
    },
    /** The responses to 35% of the commits are lost for 4.5 s; the commits take effect at once. */
    STORE_RESPONSES_LOST {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.dropCommitResponses(0.35, false, 4_500);
        }
    },
    /** The same, but those commits take effect seconds late. */
    STORE_RESPONSES_LOST_WRITES_LATE {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.dropCommitResponses(0.35, true, 4_500);
        }
    },
    /** An executor responds to nothing for 1 to 8 s, while its runs continue. */
    EXECUTOR_SILENT {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.silenceExecutor("x1", 1_000 + random.nextInt(7_000));
        }
    },
    /** An executor restarts: its runs end and it knows no earlier state. */
    EXECUTOR_RESTARTED {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.restartExecutor("x2");
        }
    },
    /** All runs that start on one executor fail, for 4 s. */
    EXECUTOR_FAILS_ALL_RUNS {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.failAllRuns("x0", 4_000);
        }
    },
    /** Executors carry out 30% of the orders seconds late and without a response, for 5 s. */
    ORDERS_LATE {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.delayOrders(0.3, 5_000);
        }
    },
    /** Three owners in turn shut down within a second while an executor is silent. */
    OWNERS_STOPPED_IN_SERIES {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.silenceExecutor("x1", 900);
            for (int i = 0; i < 3; i++) {
                site.schedule(
                        50 + i * (200 + random.nextInt(200)),
                        () -> site.owner().ifPresent(owner -> site.shutDown(owner, 3_500)));
            }
        }
    },
    /** The store takes 200 ms for each answer, for 6 s. */
    STORE_SLOW {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.slowStore(200, 6_000);
        }
    },
    /** Two changes of the configuration, up to 2 s apart, each give the queue another name. */
    QUEUE_REPLACED {
        @Override
        void inject(SchedulerSite site, Random random) {
            site.replaceQueue();
            site.schedule(random.nextInt(2_000), site::replaceQueue);
        }
    },
    /**
     * An entry is suspended for 3 to 7 s, whose callers give up after 3 s and cancel at the other
     * entries what it has not read.
     */
    CALLERS_OF_SUSPENDED_ENTRY_GIVE_UP {
        @Override
        void inject(SchedulerSite site, Random random) {
            List<String> nodes = site.nodes();
            String node = nodes.get(random.nextInt(nodes.size()));
            long suspendedMs = 3_000 + random.nextInt(4_000);
            if (random.nextBoolean()) {
                site.freeze(node, suspendedMs);
            } else {
                site.pause(node, suspendedMs);
            }
            for (int i = 0; i < 5; i++) {
                site.schedule(
                        random.nextInt(500),
                        () -> site.submitAndWithdraw(node, JobSpecs.twoSteps(2, 4_000)));
            }
        }
    };

    /** Injects the fault now; a lasting fault ends by itself. */
    abstract void inject(SchedulerSite site, Random random);
}
