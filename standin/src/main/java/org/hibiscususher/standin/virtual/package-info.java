/**
 * Small fakes at the interfaces of the core, in virtual time: peer links, store, host list, targets
 * and callers. Everything runs on the calling thread and depends on nothing but the seed.
 */
package org.hibiscususher.standin.virtual;
