/**
 * Draining of hosts, moves and lending of hosts between pools, and maintenance waves that reboot
 * hosts within the pools' availability budgets.
 */
package org.hibiscususher.core.maintenance;
