package org.hibiscususher.standin.bench;

import org.hibiscususher.core.config.QueueKind;

/**
 * A request of the experiment.
 *
 * @param atMs when it arrives, in milliseconds from the start
 * @param pool number of its pool
 * @param customer number of its customer
 * @param kind how long it runs
 * @param runMs its run time, in milliseconds
 * @param entry number of the entry that it reaches
 */
record Arrival(int atMs, int pool, int customer, QueueKind kind, int runMs, int entry) {}
