/**
 * Executors and their runs: heartbeats and leases, start and stop orders, outcomes of runs,
 * throttling, and the detection of stragglers and lost executors.
 */
package org.hibiscususher.core.scheduler.executor;
