package org.hibiscususher.daemon.admin;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.message.Output.AnswerNote;
import org.hibiscususher.core.message.Output.AnswerStatus;
import org.hibiscususher.wire.http.Addresses;
import org.hibiscususher.wire.json.OperatorJson;
import org.hibiscususher.wire.yaml.NoteReader;
import org.hibiscususher.wire.yaml.ParsedNote;

/** Serves operators: release notes, status, metrics. */
public final class AdminServer {
    private static final int MAX_NOTE_BYTES = 16 * 1024 * 1024;

    private AdminServer() {}

    /**
     * Starts to listen.
     *
     * @param group event loops; the owner closes them
     * @param address IP number and port
     * @param calls calls to the control thread
     * @param metrics what to show under {@code /metrics}
     * @throws IOException if the address can't be bound
     */
    public static void listen(
            EventLoopGroup group, String address, OperatorCalls calls, MetricRegistry metrics)
            throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(new HttpObjectAggregator(MAX_NOTE_BYTES))
                                                .addLast(new Handler(calls, metrics));
                                    }
                                })
                        .bind(Addresses.parse(address))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen for operators on " + address, bound.cause());
        }
    }

    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final OperatorCalls mCalls;
        private final MetricRegistry mMetrics;

        Handler(OperatorCalls calls, MetricRegistry metrics) {
            mCalls = calls;
            mMetrics = metrics;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String call = request.method().name() + " " + request.uri();
            switch (call) {
                case "POST /notes" -> note(context, request);
                case "GET /status" ->
                        mCalls.call(Input.StatusAsked::new)
                                .thenAccept(
                                        a ->
                                                reply(
                                                        context,
                                                        HttpResponseStatus.OK,
                                                        OperatorJson.encodeStatus(
                                                                ((AnswerStatus) a).report())));
                case "GET /metrics" ->
                        reply(
                                context,
                                HttpResponseStatus.OK,
                                MetricsPage.of(mMetrics).getBytes(StandardCharsets.UTF_8));
                default -> reply(context, HttpResponseStatus.NOT_FOUND, new byte[0]);
            }
        }

        private void note(ChannelHandlerContext context, FullHttpRequest request) {
            String text = request.content().toString(StandardCharsets.UTF_8);
            String file = request.headers().get("Note-File", "note");
            ParsedNote parsed = NoteReader.read(file, text);
            if (!parsed.findings().isEmpty()) {
                answer(
                        context,
                        new AnswerNote(
                                0, NoteResult.FAULTY, 0, "nothing was changed", parsed.findings()));
                return;
            }
            mCalls.call(
                            id ->
                                    new Input.NoteSubmitted(
                                            id, parsed.note(), System.currentTimeMillis()))
                    .thenAccept(a -> answer(context, (AnswerNote) a));
        }

        private static void answer(ChannelHandlerContext context, AnswerNote answer) {
            HttpResponseStatus status =
                    switch (answer.result()) {
                        case ACCEPTED -> HttpResponseStatus.OK;
                        case WRITTEN -> HttpResponseStatus.ACCEPTED;
                        case FAULTY -> HttpResponseStatus.UNPROCESSABLE_ENTITY;
                        case CONFLICT -> HttpResponseStatus.CONFLICT;
                        case UNAVAILABLE -> HttpResponseStatus.SERVICE_UNAVAILABLE;
                    };
            reply(context, status, OperatorJson.encodeNoteAnswer(answer));
        }

        private static void reply(
                ChannelHandlerContext context, HttpResponseStatus status, byte[] body) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
