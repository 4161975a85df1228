/** A stand-in for the platform's key-value store and list of hosts. */
package org.hibiscususher.standin.store;
