package org.hibiscususher.standin.bench;

import org.hibiscususher.core.config.QueueKind;

/**
 * A request of the generated workload.
 *
 * @param atMs arrival time, in milliseconds from the start of the run
 * @param pool index of its pool in the site, from 0
 * @param customer index of its customer in {@link Scenario#customers}
 * @param kind whether it goes to the pool's queue of quick or of long requests
 * @param runMs run time once started, in milliseconds
 * @param entry index of the entry that the caller sends it to, from 0
 */
record Arrival(int atMs, int pool, int customer, QueueKind kind, int runMs, int entry) {}
