/** Contact with executors: leases, lists of runs, orders and their ends. */
package org.hibiscususher.core.scheduler.executor;
