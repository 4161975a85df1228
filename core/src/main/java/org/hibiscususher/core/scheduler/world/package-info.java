/** The tables of the scheduler, the rows in them, and a tick over them. */
package org.hibiscususher.core.scheduler.world;
