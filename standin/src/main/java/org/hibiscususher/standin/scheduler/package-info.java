/**
 * Deterministic simulation of schedulers with a store, hosts, executors and callers in virtual
 * time, with injected faults and checks of the scheduler's invariants.
 */
package org.hibiscususher.standin.scheduler;
