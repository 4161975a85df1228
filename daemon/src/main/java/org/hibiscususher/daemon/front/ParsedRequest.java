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
 * What a caller's request asks for.
 *
 * @param queue the first segment of the path
 * @param targetPath the rest of the path and the query, as the target gets it
 * @param key digest of the secret that came with it
 * @param idempotent whether running it twice does no harm
 * @param idempotencyKey id that the caller sends again with the same request; empty if none
 * @param waitLimitMs longest wait that the caller asks for, in milliseconds; 0 for the queue's
 * @param needs declared needs
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
    private static final Set<HttpMethod> IDEMPOTENT =
            Set.of(
                    HttpMethod.GET,
                    HttpMethod.HEAD,
                    HttpMethod.PUT,
                    HttpMethod.DELETE,
                    HttpMethod.OPTIONS);

    /** Checks the fields. */
    ParsedRequest {
        requireNonNull(queue);
        requireNonNull(targetPath);
        requireNonNull(key);
        requireNonNull(idempotencyKey);
        requireNonNull(needs);
    }

    /** Returns what a request asks for, or empty if it is malformed. */
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
        String rest = slash < 0 ? "/" + uri.substring(path.length()) : uri.substring(slash);
        HttpHeaders headers = request.headers();
        return new ParsedRequest(
                queue,
                rest,
                digestOf(headers.get(HttpHeaderNames.AUTHORIZATION)),
                idempotent(request),
                headers.get("Idempotency-Key", ""),
                amount(headers, "Wait-Limit-Ms"),
                new Capacity(
                        amount(headers, "Needs-Cores"),
                        amount(headers, "Needs-Memory-Gb"),
                        amount(headers, "Needs-Accelerators")));
    }

    private static boolean idempotent(FullHttpRequest request) {
        String declared = request.headers().get(IDEMPOTENT_HEADER);
        if (declared == null) {
            return IDEMPOTENT.contains(request.method());
        }
        return "true".equalsIgnoreCase(declared.trim());
    }

    /** Returns the amount in a header, 0 if there is none; throws if it is no amount. */
    private static int amount(HttpHeaders headers, String name) {
        String value = headers.get(name);
        int amount = value == null ? 0 : Integer.parseInt(value.trim());
        if (amount < 0) {
            throw new IllegalArgumentException(name + " is negative");
        }
        return amount;
    }

    private static Optional<KeyDigest> digestOf(String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        return Optional.of(KeyDigest.ofSecret(authorization.substring(BEARER.length()).trim()));
    }

    /** Returns the input for the control thread. */
    RequestArrived arrived(long requestId) {
        return new RequestArrived(
                requestId, queue, key, idempotent, idempotencyKey, waitLimitMs, needs);
    }
}
