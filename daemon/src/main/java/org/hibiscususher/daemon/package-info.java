/**
 * The daemon of an entry: the HTTP front end for callers, connections to targets, peers and the
 * platform's store, the operators' interface, and the control thread.
 */
package org.hibiscususher.daemon;
