/** Forwarding of callers' requests to the entry that owns the scheduling. */
package org.hibiscususher.daemon.forward;
