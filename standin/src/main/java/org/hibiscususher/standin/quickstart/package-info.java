/** The main job in one process: store, targets, a daemon, one request. */
package org.hibiscususher.standin.quickstart;
