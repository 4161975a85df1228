package org.hibiscususher.daemon.front;

import static java.util.Objects.requireNonNull;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.message.Input.RequestArrived;

/**
 * A caller's request as parsed from its path and headers.
 *
 * @param queue name of the queue, the first segment of the path
 * @param targetPath rest of the path and the query, which are sent to the target
 * @param key digest of the bearer token; empty if the request has none
 * @param idempotent whether the request may be run twice, as declared by the caller or else by its
 *     method
 * @param idempotencyKey key by which the caller marks repetitions of a request; empty for none
 * @param waitLimitMs longest time that the request may wait to be started, in milliseconds; 0 for
 *     the limit of the queue
 * @param needs capacity that the request needs, as the caller declares it
 */
record ParsedRequest(
        String queue,
        String targetPath,
        Optional<KeyDigest> key,
        boolean idempotent,
        String idempotencyKey,
        int waitLimitMs,
        Capacity needs) {
    private static final String BEARER = "Bearer ";
    private static final String IDEMPOTENT_HEADER = "Idempotent";
    private static final Set<HttpMethod> IDEMPOTENT_METHODS =
            Set.of(
                    HttpMethod.GET,
                    HttpMethod.HEAD,
                    HttpMethod.PUT,
                    HttpMethod.DELETE,
                    HttpMethod.OPTIONS);

    /** Rejects null components. */
    ParsedRequest {
        requireNonNull(queue);
        requireNonNull(targetPath);
        requireNonNull(key);
        requireNonNull(idempotencyKey);
        requireNonNull(needs);
    }

    /** Returns the parsed request, or empty if it is malformed. */
    static Optional<ParsedRequest> of(FullHttpRequest request) {
        if (request.decoderResult().isFailure() || !request.uri().startsWith("/")) {
            return Optional.empty();
        }
        try {
            return Optional.of(parse(request));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static ParsedRequest parse(FullHttpRequest request) {
        String uri = request.uri();
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        int slash = path.indexOf('/', 1);
        String queue = path.substring(1, slash < 0 ? path.length() : slash);
        String restOfPath = slash < 0 ? "/" + uri.substring(path.length()) : uri.substring(slash);
        HttpHeaders headers = request.headers();
        return new ParsedRequest(
                queue,
                restOfPath,
                digestOfBearer(headers.get(HttpHeaderNames.AUTHORIZATION)),
                isIdempotent(request),
                headers.get("Idempotency-Key", ""),
                nonNegativeInt(headers, "Wait-Limit-Ms"),
                new Capacity(
                        nonNegativeInt(headers, "Needs-Cores"),
                        nonNegativeInt(headers, "Needs-Memory-Gb"),
                        nonNegativeInt(headers, "Needs-Accelerators")));
    }

    private static boolean isIdempotent(FullHttpRequest request) {
        String declared = request.headers().get(IDEMPOTENT_HEADER);
        if (declared == null) {
            return IDEMPOTENT_METHODS.contains(request.method());
        }
        return "true".equalsIgnoreCase(declared.trim());
    }

    /**
     * Returns the number in a header, 0 if the header is missing.
     *
     * @throws IllegalArgumentException if the header is not a number of 0 or more
     */
    private static int nonNegativeInt(HttpHeaders headers, String name) {
        String value = headers.get(name);
        int amount = value == null ? 0 : Integer.parseInt(value.trim());
        if (amount < 0) {
            throw new IllegalArgumentException(name + " is negative");
        }
        return amount;
    }

    private static Optional<KeyDigest> digestOfBearer(String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        return Optional.of(KeyDigest.ofSecret(authorization.substring(BEARER.length()).trim()));
    }

    /** Returns the input that reports the request to the control thread. */
    RequestArrived toInput(long requestId) {
        return new RequestArrived(
                requestId, queue, key, idempotent, idempotencyKey, waitLimitMs, needs);
    }
}
