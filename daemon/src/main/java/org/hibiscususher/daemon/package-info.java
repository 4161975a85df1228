/** The daemon: front end for callers, links to peers and targets, and the control thread. */
package org.hibiscususher.daemon;
