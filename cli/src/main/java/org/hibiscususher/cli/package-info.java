/** Placeholder. */
package org.hibiscususher.cli;
