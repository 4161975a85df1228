/** The scheduler of jobs: one owner at a time decides, every other entry forwards to it. */
package org.hibiscususher.core.scheduler;
