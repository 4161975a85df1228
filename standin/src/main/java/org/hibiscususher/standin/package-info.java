/** Placeholder. */
package org.hibiscususher.standin;
