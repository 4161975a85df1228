/**
 * Translates what the scheduler stores, and what entries pass on to its owner, to and from bytes.
 */
package org.hibiscususher.wire.scheduler;
