/** The control thread: collects inputs, runs ticks, hands on outputs. */
package org.hibiscususher.daemon.control;
