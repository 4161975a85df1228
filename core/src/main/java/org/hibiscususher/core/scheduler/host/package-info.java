/** Maintenance waves and moves of hosts between pools. */
package org.hibiscususher.core.scheduler.host;
