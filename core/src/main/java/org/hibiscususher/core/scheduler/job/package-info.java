/** Callers' requests and the life of jobs. */
package org.hibiscususher.core.scheduler.job;
