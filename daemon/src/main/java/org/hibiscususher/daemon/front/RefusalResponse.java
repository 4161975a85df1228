package org.hibiscususher.daemon.front;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.hibiscususher.core.message.Refusal;

/** Builds the answers that tell callers of refusals. */
final class RefusalResponse {
    private RefusalResponse() {}

    /** Returns the answer; it ends the caller's connection if so asked. */
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
