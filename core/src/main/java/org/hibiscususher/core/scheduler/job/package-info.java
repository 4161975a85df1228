/** Callers' requests, and the lifecycle of jobs from their acceptance to their removal. */
package org.hibiscususher.core.scheduler.job;
