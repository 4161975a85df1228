package org.hibiscususher.standin.load;

/**
 * How much load is made.
 *
 * @param ratePerS requests a second, 1 to 100,000
 * @param seconds length of each run, 1 to 60
 * @param connections most connections to one side, 1 to 1,024
 */
record LoadPlan(int ratePerS, int seconds, int connections) {
    private static final int MAX_RATE = 100_000;
    private static final int MAX_SECONDS = 60;
    private static final int MAX_CONNECTIONS = 1_024;

    /** Checks the bounds. */
    LoadPlan {
        if (ratePerS < 1
                || ratePerS > MAX_RATE
                || seconds < 1
                || seconds > MAX_SECONDS
                || connections < 1
                || connections > MAX_CONNECTIONS) {
            throw new IllegalArgumentException(
                    "rate: "
                            + ratePerS
                            + ", seconds: "
                            + seconds
                            + ", connections: "
                            + connections);
        }
    }

    /** Returns how many requests the run makes. */
    int requests() {
        return ratePerS * seconds;
    }
}
