/** Connections to the other entries, which carry the messages between their control threads. */
package org.hibiscususher.daemon.peer;
