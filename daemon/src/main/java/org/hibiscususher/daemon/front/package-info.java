/** Traffic: callers' requests, targets' answers. */
package org.hibiscususher.daemon.front;
