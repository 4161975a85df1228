/** Maintenance waves, and moves of hosts between pools to follow their demand. */
package org.hibiscususher.core.scheduler.host;
