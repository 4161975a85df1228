package org.hibiscususher.standin.scheduler;

/** The tasks of a {@link RestartPlay}. */
enum RestartLoad {
    /** All tasks outlast every lease. */
    LONG {
        @Override
        long taskMs(long submittedMs, long restartMs) {
            return LONG_MS;
        }
    },
    /** Tasks that are submitted before the restart are short, so that ends are on their way. */
    SHORT_BEFORE_THE_RESTART {
        @Override
        long taskMs(long submittedMs, long restartMs) {
            return submittedMs < restartMs ? SHORT_MS : LONG_MS;
        }
    };

    private static final long LONG_MS = 7_000;
    private static final long SHORT_MS = 40;

    /** Returns the run time of a task, in milliseconds, by when it is submitted. */
    abstract long taskMs(long submittedMs, long restartMs);
}
