/** The tables of an entry and their rows, and the tick that systems work on. */
package org.hibiscususher.core.world;
