/** The tables of the scheduler, their rows, and a tick of the systems over them. */
package org.hibiscususher.core.scheduler.world;
