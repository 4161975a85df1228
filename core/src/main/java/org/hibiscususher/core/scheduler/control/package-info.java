/**
 * The scheduler's tick: all systems in the order in which they run, and those of the process
 * itself.
 */
package org.hibiscususher.core.scheduler.control;
