/** Tables of immutable rows by id: the only mutable containers of the core. */
package org.hibiscususher.core.table;
