package org.hibiscususher.daemon.front;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.hibiscususher.core.message.Refusal;

/** Builds the HTTP responses for refused requests. */
final class RefusalResponse {
    private RefusalResponse() {}

    /**
     * Returns the response to a refused request.
     *
     * @param caller connection that allocates the response
     * @param refusal reason, which is written to the body and to the headers
     * @param closing whether the connection is closed after the response
     */
    static FullHttpResponse of(Channel caller, Refusal refusal, boolean closing) {
        String body =
                "{\"reason\":\""
                        + refusal.code()
                        + "\",\"ran\":\""
                        + refusal.executionStatus().code()
                        + "\"}\n";
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        RefusalStatus.of(refusal),
                        ByteBufUtil.writeUtf8(caller.alloc(), body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set("Refusal-Reason", refusal.code())
                .set("Ran", refusal.executionStatus().code());
        if (closing) {
            HttpUtil.setKeepAlive(response, false);
        }
        return response;
    }
}
