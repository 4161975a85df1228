package org.hibiscususher.wire.http;

/**
 * A complete HTTP response.
 *
 * @param status status code
 * @param body bytes of the body, not copied; the receiver must not change them
 */
public record HttpReply(int status, byte[] body) {}
