/** Placeholder. */
package org.hibiscususher.wire;
