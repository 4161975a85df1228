/**
 * Decisions of the capacity and maintenance manager, free of sockets, threads, clocks and codecs.
 *
 * <p>Entities are rows of tables; systems run over the tables each tick in one listed order.
 */
package org.hibiscususher.core;
