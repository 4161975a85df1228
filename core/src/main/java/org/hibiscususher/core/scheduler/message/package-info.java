/** What the scheduler is told, what it wants done, and the records it keeps in the store. */
package org.hibiscususher.core.scheduler.message;
