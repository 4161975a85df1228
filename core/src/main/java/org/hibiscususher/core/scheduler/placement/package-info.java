/** Which task starts next, and where. */
package org.hibiscususher.core.scheduler.placement;
