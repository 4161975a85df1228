/** Structured log that is rate-limited and never blocks its callers. */
package org.hibiscususher.daemon.log;
