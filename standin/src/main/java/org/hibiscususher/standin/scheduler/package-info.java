/**
 * A site of schedulers, a store and executors in virtual time, with faults and checks of what must
 * hold.
 */
package org.hibiscususher.standin.scheduler;
