package org.hibiscususher.daemon.front;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.hibiscususher.core.message.Refusal;

/** Maps refusals to HTTP status codes. */
final class RefusalStatus {
    private RefusalStatus() {}

    static HttpResponseStatus of(Refusal refusal) {
        return switch (refusal) {
            case REQUEST_MALFORMED, IDEMPOTENCY_KEY_MALFORMED -> HttpResponseStatus.BAD_REQUEST;
            case REQUEST_TOO_LARGE -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
            case KEY_MISSING -> HttpResponseStatus.UNAUTHORIZED;
            case KEY_UNKNOWN -> HttpResponseStatus.FORBIDDEN;
            case QUEUE_UNKNOWN -> HttpResponseStatus.NOT_FOUND;
            case QUEUE_FULL, TEAM_AT_LIMIT -> HttpResponseStatus.TOO_MANY_REQUESTS;
            case NEVER_FITS -> HttpResponseStatus.UNPROCESSABLE_ENTITY;
            case DUPLICATE, ID_NOT_VOUCHED -> HttpResponseStatus.CONFLICT;
            case TARGETS_FAILED -> HttpResponseStatus.BAD_GATEWAY;
            case OUTCOME_UNKNOWN -> HttpResponseStatus.GATEWAY_TIMEOUT;
            case ENTRY_FAILED -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
            case POOL_EMPTY, WAIT_LIMIT, CONFIGURATION_STALE, ENTRY_LEAVING, ENTRY_OVERLOADED ->
                    HttpResponseStatus.SERVICE_UNAVAILABLE;
        };
    }
}
