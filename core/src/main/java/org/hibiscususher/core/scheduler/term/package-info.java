/**
 * Ownership of the scheduling: how an entry acquires, renews, hands over and loses it, and the
 * commits by which the owner writes its state to the store.
 */
package org.hibiscususher.core.scheduler.term;
