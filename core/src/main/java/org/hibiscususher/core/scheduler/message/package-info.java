/** Inputs and outputs of the scheduler, and the records that it keeps in the store. */
package org.hibiscususher.core.scheduler.message;
