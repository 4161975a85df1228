package org.hibiscususher.standin.load;

/**
 * The load of one run.
 *
 * @param ratePerS requests per second, 1 to 100,000
 * @param seconds length of the run in seconds, 1 to 60
 * @param connections most connections open at a time, 1 to 1,024
 */
record LoadPlan(int ratePerS, int seconds, int connections) {
    private static final int MAX_RATE = 100_000;
    private static final int MAX_SECONDS = 60;
    private static final int MAX_CONNECTIONS = 1_024;

    LoadPlan {
        if (ratePerS < 1
                || ratePerS > MAX_RATE
                || seconds < 1
                || seconds > MAX_SECONDS
                || connections < 1
                || connections > MAX_CONNECTIONS) {
            throw new IllegalArgumentException(
                    "rate must be from 1 to "
                            + MAX_RATE
                            + ", seconds from 1 to "
                            + MAX_SECONDS
                            + " and connections from 1 to "
                            + MAX_CONNECTIONS
                            + ": rate="
                            + ratePerS
                            + ", seconds="
                            + seconds
                            + ", connections="
                            + connections);
        }
    }

    /** Returns how many requests the run sends. */
    int requests() {
        return ratePerS * seconds;
    }
}
