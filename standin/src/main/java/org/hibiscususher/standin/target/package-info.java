/** A stand-in for a target host's executor. */
package org.hibiscususher.standin.target;
