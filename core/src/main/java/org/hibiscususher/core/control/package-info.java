/** The control loop of an entry: its state and the order of the systems that run over it. */
package org.hibiscususher.core.control;
