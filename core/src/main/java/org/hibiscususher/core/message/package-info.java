/** What goes into a tick and comes out of it: immutable inputs, outputs, peer and store records. */
package org.hibiscususher.core.message;
