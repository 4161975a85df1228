/** Graceful shutdown, moves of hosts between pools, and maintenance waves. */
package org.hibiscususher.core.maintenance;
