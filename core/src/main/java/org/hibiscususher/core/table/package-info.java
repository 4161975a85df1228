/** Tables: the only mutable containers of the core. */
package org.hibiscususher.core.table;
