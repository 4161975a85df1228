package org.hibiscususher.wire.http;

/**
 * A whole answer.
 *
 * @param status HTTP status
 * @param body bytes of the body; callers must not change them
 */
public record HttpReply(int status, byte[] body) {}
