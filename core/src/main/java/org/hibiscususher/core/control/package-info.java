/** The order of the systems and the control node that runs them. */
package org.hibiscususher.core.control;
