/** The control thread: collects inputs, runs ticks and dispatches their outputs. */
package org.hibiscususher.daemon.control;
