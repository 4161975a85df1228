/**
 * HTTP stand-in for the platform's key-value store, host list and reboots, with faults that a test
 * selects.
 */
package org.hibiscususher.standin.store;
