/**
 * Permits in escrow: distributes the slots of hosts, the units of teams and the permits for long
 * runs among the entries, so that their limits are never exceeded.
 */
package org.hibiscususher.core.escrow;
