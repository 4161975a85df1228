/** Placeholder. */
package org.hibiscususher.daemon;
