/** An HTTP client for occasional requests and small responses, on Netty's event loops. */
package org.hibiscususher.wire.http;
