/** Values that describe jobs, their steps, tasks and runs, and the plan that they are under. */
package org.hibiscususher.core.job;
