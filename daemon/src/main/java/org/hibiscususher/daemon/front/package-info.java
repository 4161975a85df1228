/** HTTP front end: receives callers' requests, sends them to targets and forwards the responses. */
package org.hibiscususher.daemon.front;
