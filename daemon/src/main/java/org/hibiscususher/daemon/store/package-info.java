/** Client of the platform's key-value store and host API, over HTTP and JSON. */
package org.hibiscususher.daemon.store;
