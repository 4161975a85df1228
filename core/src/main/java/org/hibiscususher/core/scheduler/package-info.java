/**
 * The job scheduler. At any time one entry, the owner, accepts jobs and assigns their tasks to
 * executors; every other entry forwards callers' requests to it.
 */
package org.hibiscususher.core.scheduler;
