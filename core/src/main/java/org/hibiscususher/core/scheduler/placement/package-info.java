/** Placement: which waiting tasks start next, and on which executors. */
package org.hibiscususher.core.scheduler.placement;
