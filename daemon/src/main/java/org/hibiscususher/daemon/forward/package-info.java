/** Passes callers' requests on to the owner of the scheduling, and its answers back. */
package org.hibiscususher.daemon.forward;
