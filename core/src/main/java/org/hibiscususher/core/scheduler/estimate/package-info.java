/** Run times that are learned from finished runs, and what to expect of a run. */
package org.hibiscususher.core.scheduler.estimate;
