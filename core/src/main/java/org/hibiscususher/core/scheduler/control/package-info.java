/** The systems of the scheduler in their order. */
package org.hibiscususher.core.scheduler.control;
