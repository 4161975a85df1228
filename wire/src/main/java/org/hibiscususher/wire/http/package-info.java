/** A small HTTP client for whole messages, on Netty's codec. */
package org.hibiscususher.wire.http;
