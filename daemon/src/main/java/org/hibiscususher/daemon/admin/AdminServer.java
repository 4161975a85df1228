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
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
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
    private static final Logger LOG = System.getLogger(AdminServer.class.getName());
    private static final int MAX_NOTE_BYTES = 16 * 1024 * 1024;
    private static final int MAX_HISTORY_NOTES = 100;

    /** Most requests of one connection that wait for their responses. */
    private static final int MAX_PIPELINED = 16;

    private final Channel mChannel;
    private final AtomicInteger mOpenRequests;

    private AdminServer(Channel channel, AtomicInteger openRequests) {
        mChannel = channel;
        mOpenRequests = openRequests;
    }

    /**
     * Binds the server to an address.
     *
     * @param group event loops of the server's connections; the caller closes them
     * @param address IP number and port to listen on; port 0 selects a free port
     * @param calls submits requests to the control thread
     * @param metrics metrics shown under {@code /metrics}
     * @throws IOException if the address can't be bound
     */
    public static AdminServer listen(
            EventLoopGroup group, String address, OperatorCalls calls, MetricRegistry metrics)
            throws IOException {
        AtomicInteger openRequests = new AtomicInteger();
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
                                                .addLast(new Handler(calls, metrics, openRequests));
                                    }
                                })
                        .bind(Addresses.parse(address))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen for operators on " + address, bound.cause());
        }
        return new AdminServer(bound.channel(), openRequests);
    }

    /** Returns the IP number and port on which the server listens. */
    public String address() {
        InetSocketAddress address = (InetSocketAddress) mChannel.localAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the number of requests whose responses are not completely written. */
    public int openRequests() {
        return mOpenRequests.get();
    }

    /** A response to be written: its status and body. */
    private record Reply(HttpResponseStatus status, byte[] body) {
        static CompletableFuture<Reply> of(HttpResponseStatus status, byte[] body) {
            return CompletableFuture.completedFuture(new Reply(status, body));
        }
    }

    /** Handles one connection; responses are written in the order of the requests. */
    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final OperatorCalls mCalls;
        private final MetricRegistry mMetrics;
        private final AtomicInteger mOpenRequests;
        private final Deque<CompletableFuture<Reply>> mReplies = new ArrayDeque<>();

        Handler(OperatorCalls calls, MetricRegistry metrics, AtomicInteger openRequests) {
            mCalls = calls;
            mMetrics = metrics;
            mOpenRequests = openRequests;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            mOpenRequests.incrementAndGet();
            CompletableFuture<Reply> reply = answer(request, context.executor());
            mReplies.add(reply);
            context.channel().config().setAutoRead(mReplies.size() < MAX_PIPELINED);
            reply.thenRunAsync(() -> writeReady(context), context.executor());
        }

        private void writeReady(ChannelHandlerContext context) {
            while (!mReplies.isEmpty() && mReplies.peek().isDone()) {
                write(context, mReplies.remove().join());
            }
            context.channel().config().setAutoRead(true);
        }

        private void write(ChannelHandlerContext context, Reply reply) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            reply.status(),
                            Unpooled.wrappedBuffer(reply.body()));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
            context.writeAndFlush(response)
                    .addListener((ChannelFuture done) -> mOpenRequests.decrementAndGet());
        }

        /** Returns the future reply to a request; it never completes with an exception. */
        private CompletableFuture<Reply> answer(FullHttpRequest request, Executor encoding) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            if (!isDecodable(uri)) {
                return Reply.of(HttpResponseStatus.BAD_REQUEST, new byte[0]);
            }
            try {
                return route(request, uri, encoding).exceptionally(Handler::failure);
            } catch (RuntimeException e) {
                return CompletableFuture.completedFuture(failure(e));
            }
        }

        private static boolean isDecodable(QueryStringDecoder uri) {
            try {
                return uri.path() != null && uri.parameters() != null;
            } catch (IllegalArgumentException e) {
                return false;
            }
        }

        private static Reply failure(Throwable cause) {
            Throwable reason = cause instanceof CompletionException ? cause.getCause() : cause;
            if (reason instanceof TimeoutException) {
                LOG.log(Level.WARNING, "event=operator-request-unanswered " + reason.getMessage());
                return new Reply(HttpResponseStatus.SERVICE_UNAVAILABLE, utf8(reason.getMessage()));
            }
            LOG.log(Level.ERROR, "event=operator-request-failed", reason);
            return new Reply(HttpResponseStatus.INTERNAL_SERVER_ERROR, utf8(reason.toString()));
        }

        private CompletableFuture<Reply> route(
                FullHttpRequest request, QueryStringDecoder uri, Executor encoding) {
            String route = request.method().name() + " " + uri.path();
            return switch (route) {
                case "POST /notes" -> handleNote(request, uri, encoding);
                case "POST /notes/check" -> handleNoteCheck(request, uri, encoding);
                case "GET /notes" -> handleHistory(uri, encoding);
                case "GET /export" ->
                        queryControl(
                                encoding,
                                Input.ExportRequested::new,
                                ReplyToExport.class,
                                a -> utf8(NoteWriter.write(a.configuration())));
                case "GET /status" ->
                        queryControl(
                                encoding,
                                Input.StatusRequested::new,
                                ReplyToStatus.class,
                                a -> OperatorJson.encodeStatus(a.report()));
                case "GET /metrics" ->
                        Reply.of(HttpResponseStatus.OK, utf8(MetricsPage.of(mMetrics)));
                case "POST /wave" -> handleWave(request, encoding);
                default -> Reply.of(HttpResponseStatus.NOT_FOUND, new byte[0]);
            };
        }

        /** Submits a request to the control thread; its encoded reply is the response. */
        private <T extends Output> CompletableFuture<Reply> queryControl(
                Executor encoding,
                LongFunction<Input> input,
                Class<T> type,
                Function<T, byte[]> encoder) {
            return mCalls.submit(input)
                    .thenApplyAsync(
                            a -> new Reply(HttpResponseStatus.OK, encoder.apply(type.cast(a))),
                            encoding);
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

        private CompletableFuture<Reply> handleHistory(QueryStringDecoder uri, Executor encoding) {
            String which = parameter(uri, "which", "");
            return queryControl(
                    encoding,
                    id -> new Input.HistoryRequested(id, which, MAX_HISTORY_NOTES),
                    ReplyToHistory.class,
                    OperatorJson::encodeHistory);
        }

        private CompletableFuture<Reply> handleNoteCheck(
                FullHttpRequest request, QueryStringDecoder uri, Executor encoding) {
            ParsedNote parsed = parse(request, uri);
            if (parsed.findings().isEmpty()) {
                return queryControl(
                        encoding,
                        id -> new Input.NoteCheckRequested(id, parsed.note()),
                        ReplyToNoteCheck.class,
                        OperatorJson::encodeNoteCheck);
            }
            ReplyToNoteCheck reply = new ReplyToNoteCheck(0, 0, parsed.findings());
            return Reply.of(HttpResponseStatus.OK, OperatorJson.encodeNoteCheck(reply));
        }

        private CompletableFuture<Reply> handleNote(
                FullHttpRequest request, QueryStringDecoder uri, Executor encoding) {
            ParsedNote parsed = parse(request, uri);
            if (!parsed.findings().isEmpty()) {
                return CompletableFuture.completedFuture(
                        noteReply(
                                new ReplyToNote(
                                        0,
                                        NoteResult.FAULTY,
                                        0,
                                        "nothing was changed",
                                        parsed.findings())));
            }
            long wallMs = System.currentTimeMillis();
            return mCalls.submit(id -> new Input.NoteSubmitted(id, parsed.note(), wallMs))
                    .thenApplyAsync(a -> noteReply((ReplyToNote) a), encoding);
        }

        private CompletableFuture<Reply> handleWave(FullHttpRequest request, Executor encoding) {
            List<String> words =
                    List.of(request.content().toString(StandardCharsets.UTF_8).trim().split(" +"));
            Optional<WaveCommand> command =
                    Arrays.stream(WaveCommand.values())
                            .filter(c -> c.name().equalsIgnoreCase(words.get(0)))
                            .findFirst();
            if (command.isEmpty()) {
                return Reply.of(HttpResponseStatus.BAD_REQUEST, new byte[0]);
            }
            List<String> pools = words.subList(1, words.size());
            return queryControl(
                    encoding,
                    id -> new Input.WaveCommandReceived(id, command.get(), pools),
                    ReplyToWave.class,
                    a -> OperatorJson.encodeWave(a.report()));
        }

        private static Reply noteReply(ReplyToNote reply) {
            HttpResponseStatus status =
                    switch (reply.result()) {
                        case ACCEPTED -> HttpResponseStatus.OK;
                        case WRITTEN -> HttpResponseStatus.ACCEPTED;
                        case FAULTY -> HttpResponseStatus.UNPROCESSABLE_ENTITY;
                        case CONFLICT -> HttpResponseStatus.CONFLICT;
                        case UNAVAILABLE -> HttpResponseStatus.SERVICE_UNAVAILABLE;
                    };
            return new Reply(status, OperatorJson.encodeNoteAnswer(reply));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mOpenRequests.addAndGet(-mReplies.size());
            mReplies.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(Level.WARNING, "event=operator-link-broken cause=\"" + cause + "\"");
            context.close();
        }
    }
}
