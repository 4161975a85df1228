/** Who owns the scheduling, and what is written to the store. */
package org.hibiscususher.core.scheduler.term;
