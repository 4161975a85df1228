package org.hibiscususher.daemon.front;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;

/** Interprets the headers of requests and responses, and removes those not to be forwarded. */
final class MessageHeaders {
    /** Header of a target's response, with the value {@code true} if it did not run the request. */
    private static final String NOT_RUN = "Not-Run";

    private static final List<CharSequence> HOP_BY_HOP =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    "Keep-Alive",
                    HttpHeaderNames.PROXY_AUTHENTICATE,
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    "Proxy-Connection",
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE);

    private MessageHeaders() {}

    /**
     * Removes the hop-by-hop headers, and those that the Connection header names. Content-Length
     * stays even if it is named, since the body could not be delimited without it.
     */
    static void removeHopByHop(HttpHeaders headers) {
        for (String line : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : line.split(",")) {
                if (!name.isBlank()
                        && !HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name.trim())) {
                    headers.remove(name.trim());
                }
            }
        }
        HOP_BY_HOP.forEach(headers::remove);
    }

    /** Returns whether a target declares by header that it did not run the request. */
    static boolean isNotRun(HttpResponse response) {
        return "true".equalsIgnoreCase(response.headers().get(NOT_RUN));
    }

    /**
     * Returns whether the end of a response is marked other than by the end of its connection.
     *
     * <p>Without a length or chunks, a truncated response looks like a complete one.
     */
    static boolean isDelimited(HttpResponse response, HttpMethod method) {
        if (method.equals(HttpMethod.HEAD) || hasNoBody(response.status())) {
            return true;
        }
        List<String> encodings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (encodings.isEmpty()) {
            return HttpUtil.isContentLengthSet(response);
        }
        return encodings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0).trim());
    }

    private static boolean hasNoBody(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.NO_CONTENT)
                || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }
}
