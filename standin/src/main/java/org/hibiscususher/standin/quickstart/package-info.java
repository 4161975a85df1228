/** A demonstration in one process: a fake store, two targets, a daemon and one request. */
package org.hibiscususher.standin.quickstart;
