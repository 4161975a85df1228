/** Evacuation of availability zones: which executors and hosts get no work, and which runs move. */
package org.hibiscususher.core.scheduler.evacuation;
