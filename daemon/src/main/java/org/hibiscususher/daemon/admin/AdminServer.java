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
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.core.message.Output.ReplyToExport;
import org.hibiscususher.core.message.Output.ReplyToHistory;
import org.hibiscususher.core.message.Output.ReplyToNote;
import org.hibiscususher.core.message.Output.ReplyToNoteCheck;
import org.hibiscususher.core.message.Output.ReplyToStatus;
import org.hibiscususher.core.message.Output.ReplyToWave;
import org.hibiscususher.core.message.WaveCommand;
import org.hibiscususher.wire.http.Addresses;
import org.hibiscususher.wire.json.OperatorJson;
import org.hibiscususher.wire.yaml.NoteReader;
import org.hibiscususher.wire.yaml.NoteWriter;
import org.hibiscususher.wire.yaml.ParsedNote;

/**
 * HTTP server for operators: release notes, configuration export, maintenance waves, status and
 * metrics.
 *
 * <p>Requests that need control state become inputs of the control thread; the response is written
 * when the control thread has replied, so that no event loop waits.
 */
public final class AdminServer {
    private static final int MAX_NOTE_BYTES = 16 * 1024 * 1024;
    private static final int MAX_HISTORY_NOTES = 100;

    private AdminServer() {}

    /**
     * Binds the server to an address.
     *
     * @param group event loops of the server's connections; the caller closes them
     * @param address IP number and port to listen on
     * @param calls submits requests to the control thread
     * @param metrics metrics shown under {@code /metrics}
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
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            String route = request.method().name() + " " + uri.path();
            switch (route) {
                case "POST /notes" -> handleNote(context, request, uri);
                case "POST /notes/check" -> handleNoteCheck(context, request, uri);
                case "GET /notes" -> handleHistory(context, uri);
                case "GET /export" ->
                        queryControl(
                                context,
                                Input.ExportRequested::new,
                                ReplyToExport.class,
                                a -> utf8(NoteWriter.write(a.configuration())));
                case "GET /status" ->
                        queryControl(
                                context,
                                Input.StatusRequested::new,
                                ReplyToStatus.class,
                                a -> OperatorJson.encodeStatus(a.report()));
                case "GET /metrics" ->
                        respond(context, HttpResponseStatus.OK, utf8(MetricsPage.of(mMetrics)));
                case "POST /wave" -> handleWave(context, request);
                default -> respond(context, HttpResponseStatus.NOT_FOUND, new byte[0]);
            }
        }

        /** Submits a request to the control thread and responds with its encoded reply. */
        private <T extends Output> void queryControl(
                ChannelHandlerContext context,
                LongFunction<Input> input,
                Class<T> type,
                Function<T, byte[]> encoder) {
            mCalls.submit(input)
                    .thenAccept(
                            a ->
                                    respond(
                                            context,
                                            HttpResponseStatus.OK,
                                            encoder.apply(type.cast(a))));
        }

        private static byte[] utf8(String text) {
            return text.getBytes(StandardCharsets.UTF_8);
        }

        private static String parameter(QueryStringDecoder uri, String name, String defaultValue) {
            List<String> values = uri.parameters().getOrDefault(name, List.of());
            return values.isEmpty() ? defaultValue : values.get(0);
        }

        private static ParsedNote parse(FullHttpRequest request, QueryStringDecoder uri) {
            String text = request.content().toString(StandardCharsets.UTF_8);
            return NoteReader.read(parameter(uri, "file", "note"), text);
        }

        private void handleHistory(ChannelHandlerContext context, QueryStringDecoder uri) {
            String which = parameter(uri, "which", "");
            queryControl(
                    context,
                    id -> new Input.HistoryRequested(id, which, MAX_HISTORY_NOTES),
                    ReplyToHistory.class,
                    OperatorJson::encodeHistory);
        }

        private void handleNoteCheck(
                ChannelHandlerContext context, FullHttpRequest request, QueryStringDecoder uri) {
            ParsedNote parsed = parse(request, uri);
            if (parsed.findings().isEmpty()) {
                queryControl(
                        context,
                        id -> new Input.NoteCheckRequested(id, parsed.note()),
                        ReplyToNoteCheck.class,
                        OperatorJson::encodeNoteCheck);
            } else {
                ReplyToNoteCheck reply = new ReplyToNoteCheck(0, 0, parsed.findings());
                respond(context, HttpResponseStatus.OK, OperatorJson.encodeNoteCheck(reply));
            }
        }

        private void handleNote(
                ChannelHandlerContext context, FullHttpRequest request, QueryStringDecoder uri) {
            ParsedNote parsed = parse(request, uri);
            if (!parsed.findings().isEmpty()) {
                respondNote(
                        context,
                        new ReplyToNote(
                                0, NoteResult.FAULTY, 0, "nothing was changed", parsed.findings()));
                return;
            }
            long wallMs = System.currentTimeMillis();
            mCalls.submit(id -> new Input.NoteSubmitted(id, parsed.note(), wallMs))
                    .thenAccept(a -> respondNote(context, (ReplyToNote) a));
        }

        private void handleWave(ChannelHandlerContext context, FullHttpRequest request) {
            List<String> words =
                    List.of(request.content().toString(StandardCharsets.UTF_8).trim().split(" +"));
            Optional<WaveCommand> command =
                    Arrays.stream(WaveCommand.values())
                            .filter(c -> c.name().equalsIgnoreCase(words.get(0)))
                            .findFirst();
            if (command.isEmpty()) {
                respond(context, HttpResponseStatus.BAD_REQUEST, new byte[0]);
                return;
            }
            List<String> pools = words.subList(1, words.size());
            mCalls.submit(id -> new Input.WaveCommandReceived(id, command.get(), pools))
                    .thenAccept(
                            a ->
                                    respond(
                                            context,
                                            HttpResponseStatus.OK,
                                            OperatorJson.encodeWave(((ReplyToWave) a).report())));
        }

        private static void respondNote(ChannelHandlerContext context, ReplyToNote reply) {
            HttpResponseStatus status =
                    switch (reply.result()) {
                        case ACCEPTED -> HttpResponseStatus.OK;
                        case WRITTEN -> HttpResponseStatus.ACCEPTED;
                        case FAULTY -> HttpResponseStatus.UNPROCESSABLE_ENTITY;
                        case CONFLICT -> HttpResponseStatus.CONFLICT;
                        case UNAVAILABLE -> HttpResponseStatus.SERVICE_UNAVAILABLE;
                    };
            respond(context, status, OperatorJson.encodeNoteAnswer(reply));
        }

        private static void respond(
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
