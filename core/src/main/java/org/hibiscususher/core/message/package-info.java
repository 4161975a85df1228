/**
 * Immutable messages to and from the control state: the inputs and outputs of a tick, the items
 * that entries send each other, and the records in the platform's store. Their encoding is
 * elsewhere.
 */
package org.hibiscususher.core.message;
