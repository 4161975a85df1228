/** The platform's key-value store and list of hosts, over HTTP and JSON. */
package org.hibiscususher.daemon.store;
