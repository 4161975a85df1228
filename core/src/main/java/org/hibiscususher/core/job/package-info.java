/** Jobs with their steps, tasks and runs, requests about them, and their configuration. */
package org.hibiscususher.core.job;
