/** Permits in escrow: who holds which slots, units and long-run permits. */
package org.hibiscususher.core.escrow;
