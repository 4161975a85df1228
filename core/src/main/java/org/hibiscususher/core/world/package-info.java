/** The tables of an entry, their immutable rows, and the tick that the systems run in. */
package org.hibiscususher.core.world;
