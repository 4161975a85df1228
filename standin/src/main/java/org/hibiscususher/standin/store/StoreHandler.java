package org.hibiscususher.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Answers calls of the JSON gateway of the etcd v3 protocol, as far as the system uses it. */
final class StoreHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final Pattern REBOOT = Pattern.compile("/platform/hosts/([^/]+)/reboot");

    private final StoreState mState;

    StoreHandler(StoreState state) {
        mState = state;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request)
            throws IOException {
        String body = request.content().toString(StandardCharsets.UTF_8);
        if (request.uri().equals("/fault")) {
            mState.setFault(StoreFault.valueOf(body.trim()));
            reply(context, JsonNodeFactory.instance.objectNode());
            return;
        }
        if (!mState.fault().appliesCalls()) {
            return;
        }
        JsonNode call = body.isEmpty() ? MAPPER.createObjectNode() : MAPPER.readTree(body);
        Matcher reboot = REBOOT.matcher(request.uri());
        if (reboot.matches()) {
            boolean accepted =
                    mState.platformHosts()
                            .reboot(
                                    reboot.group(1),
                                    call.path("bootId").asText(),
                                    call.path("token").asText());
            replyAfterDelay(context, MAPPER.createObjectNode().put("accepted", accepted));
            return;
        }
        switch (request.uri()) {
            case "/v3/kv/range" -> replyAfterDelay(context, range(call));
            case "/v3/kv/txn" -> replyAfterDelay(context, transact(call));
            case "/v3/watch" -> watch(context.channel(), call.path("create_request"));
            case "/platform/hosts" -> {
                if (request.method() == HttpMethod.POST) {
                    mState.platformHosts().replace(call.path("hosts"));
                }
                ObjectNode hosts = MAPPER.createObjectNode();
                mState.platformHosts().writeTo(hosts.putArray("hosts"));
                replyAfterDelay(context, hosts);
            }
            default -> context.close();
        }
    }

    private ObjectNode range(JsonNode call) {
        ObjectNode reply = header();
        if (call.has("range_end")) {
            ArrayNode found = reply.putArray("kvs");
            String first = decode(call.path("key").asText());
            String end = decode(call.path("range_end").asText());
            long sinceRevision = call.path("min_mod_revision").asLong();
            for (StoreState.Entry entry : mState.entries().rows()) {
                String key = decode(entry.key());
                boolean within = key.compareTo(first) >= 0 && key.compareTo(end) < 0;
                if (within && entry.revision() >= sinceRevision) {
                    found.add(keyValue(entry));
                }
            }
            return reply;
        }
        Optional<StoreState.Entry> entry = mState.entries().find(call.path("key").asText());
        if (entry.isPresent()) {
            reply.put("count", "1");
        }
        long minRevision = call.path("min_mod_revision").asLong();
        entry.filter(e -> e.revision() >= minRevision)
                .ifPresent(e -> reply.putArray("kvs").add(keyValue(e)));
        return reply;
    }

    private static String decode(String key) {
        return new String(Base64.getDecoder().decode(key), StandardCharsets.UTF_8);
    }

    private ObjectNode transact(JsonNode call) {
        JsonNode compare = call.path("compare").get(0);
        JsonNode put = call.path("success").get(0).path("request_put");
        String key = put.path("key").asText();
        boolean swapped =
                mState.compareAndSet(
                        key, compare.path("mod_revision").asLong(), put.path("value").asText());
        if (swapped && mState.fault().notifiesWatches()) {
            mState.watchChannels(key).removeIf(c -> !c.isActive());
            mState.watchChannels(key).forEach(c -> sendWatchEvent(c, key));
        }
        return header().put("succeeded", swapped);
    }

    private void watch(Channel channel, JsonNode create) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        HttpUtil.setTransferEncodingChunked(head, true);
        channel.writeAndFlush(head);
        String key = create.path("key").asText();
        mState.watchChannels(key).add(channel);
        if (mState.entries().contains(key)) {
            sendWatchEvent(channel, key);
        }
    }

    private void sendWatchEvent(Channel channel, String key) {
        ObjectNode line = MAPPER.createObjectNode();
        line.putObject("result")
                .putArray("events")
                .addObject()
                .put("type", "PUT")
                .set("kv", keyValue(mState.entries().find(key).orElseThrow()));
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    private ObjectNode header() {
        ObjectNode reply = MAPPER.createObjectNode();
        reply.putObject("header").put("revision", Long.toString(mState.revision()));
        return reply;
    }

    private static ObjectNode keyValue(StoreState.Entry entry) {
        return MAPPER.createObjectNode()
                .put("key", entry.key())
                .put("value", entry.value())
                .put("mod_revision", Long.toString(entry.revision()));
    }

    private void replyAfterDelay(ChannelHandlerContext context, JsonNode body) {
        if (!mState.fault().sendsResponses()) {
            return;
        }
        context.executor()
                .schedule(
                        () -> reply(context, body),
                        mState.fault().delayMs(),
                        TimeUnit.MILLISECONDS);
    }

    private static void reply(ChannelHandlerContext context, JsonNode body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Unpooled.copiedBuffer(body.toString(), StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        context.writeAndFlush(response);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
