/** Refusal, by an entry, of submissions that the owner could not decide on in time. */
package org.hibiscususher.core.scheduler.admission;
