/** Structured log lines, bounded and never blocking. */
package org.hibiscususher.daemon.log;
