/**
 * The decisions of the capacity and maintenance manager, free of sockets, threads, clocks and
 * codecs.
 *
 * <p>Entities are rows of tables. Systems run over the tables each tick, in a fixed order. Time and
 * events are passed in, so every run can be repeated exactly.
 */
package org.hibiscususher.core;
