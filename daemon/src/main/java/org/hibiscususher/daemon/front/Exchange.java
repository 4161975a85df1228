package org.hibiscususher.daemon.front;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.AttemptEnded;
import org.hibiscususher.core.message.Input.RequestCancelled;
import org.hibiscususher.core.message.Input.TargetDone;
import org.hibiscususher.core.message.Output.StartAttempt;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.wire.http.Addresses;

/**
 * One request on the traffic side: the caller's connection, and that to the target of the current
 * attempt. All state belongs to the event loop of the caller's connection.
 */
final class Exchange {
    private static final String NOT_RUN_HEADER = "Not-Run";
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final Exchanges mExchanges;
    private final long mId;
    private final Channel mCaller;
    private final FullHttpRequest mRequest;
    private final String mTargetPath;
    private int mAttempt;
    private boolean mCallerGone;
    private boolean mAnswerBegun;

    Exchange(Exchanges exchanges, Channel caller, FullHttpRequest request, String targetPath) {
        mExchanges = exchanges;
        mId = exchanges.nextId();
        mCaller = caller;
        mRequest = request;
        mTargetPath = targetPath;
    }

    long id() {
        return mId;
    }

    /** Sends the request to a target. May be called on any thread. */
    void start(StartAttempt start) {
        mCaller.eventLoop().execute(() -> connect(start));
    }

    /** Answers the caller without a target. May be called on any thread. */
    void refuse(Refusal refusal) {
        mCaller.eventLoop().execute(() -> answerRefusal(refusal));
    }

    /** Notes that the caller went away. Called on the event loop. */
    void callerGone() {
        if (mCallerGone) {
            return;
        }
        mCallerGone = true;
        if (mAttempt == 0) {
            mExchanges.inbox().add(new RequestCancelled(mId));
            finish();
        } else {
            mExchanges.inbox().add(new AttemptEnded(mId, mAttempt, AttemptOutcome.CALLER_GONE));
        }
    }

    private void connect(StartAttempt start) {
        mAttempt = start.attempt();
        if (mCallerGone) {
            end(start.attempt(), AttemptOutcome.NOT_CONNECTED);
            return;
        }
        new Bootstrap()
                .group(mCaller.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(new HttpClientCodec())
                                        .addLast(new TargetHandler(start.attempt()));
                            }
                        })
                .connect(Addresses.parse(start.address()))
                .addListener((ChannelFuture connected) -> connected(start, connected));
    }

    private void connected(StartAttempt start, ChannelFuture connected) {
        if (!connected.isSuccess() || mCallerGone) {
            connected.channel().close();
            end(start.attempt(), AttemptOutcome.NOT_CONNECTED);
            return;
        }
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        mRequest.method(),
                        mTargetPath,
                        mRequest.content().retainedDuplicate(),
                        mRequest.headers().copy(),
                        mRequest.trailingHeaders().copy());
        request.headers()
                .remove(HttpHeaderNames.AUTHORIZATION)
                .remove(HttpHeaderNames.TRANSFER_ENCODING)
                .set(HttpHeaderNames.HOST, start.address())
                .set(HttpHeaderNames.CONTENT_LENGTH, mRequest.content().readableBytes())
                .set(HttpHeaderNames.CONNECTION, "close");
        Channel target = connected.channel();
        target.writeAndFlush(request);
        target.eventLoop()
                .schedule(
                        () -> target.pipeline().get(TargetHandler.class).timeOut(target),
                        start.runLimitMs(),
                        TimeUnit.MILLISECONDS);
    }

    private void end(int attempt, AttemptOutcome outcome) {
        mExchanges.inbox().add(new AttemptEnded(mId, attempt, outcome));
        if (outcome == AttemptOutcome.ANSWERED
                || outcome == AttemptOutcome.TRUNCATED
                || mCallerGone) {
            finish();
        }
    }

    private void finish() {
        mExchanges.remove(this);
        ReferenceCountUtil.release(mRequest);
        FrontHandler.next(mCaller);
    }

    private void answerRefusal(Refusal refusal) {
        if (mCallerGone) {
            finish();
            return;
        }
        String body =
                "{\"reason\":\""
                        + refusal.code()
                        + "\",\"ran\":\""
                        + refusal.ran().code()
                        + "\"}\n";
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        RefusalStatus.of(refusal),
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set("Refusal-Reason", refusal.code())
                .set("Ran", refusal.ran().code());
        mCaller.writeAndFlush(response);
        finish();
    }

    /** Reads the answer of one attempt. */
    private final class TargetHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final int mNumber;
        private boolean mDeclined;
        private boolean mOver;

        TargetHandler(int number) {
            super(false);
            mNumber = number;
        }

        void timeOut(Channel target) {
            over(target, mAnswerBegun ? AttemptOutcome.TRUNCATED : AttemptOutcome.TIMED_OUT);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (mOver || mDeclined || mCallerGone) {
                boolean last = message instanceof LastHttpContent;
                ReferenceCountUtil.release(message);
                if (last && mDeclined) {
                    over(context.channel(), AttemptOutcome.DECLINED);
                } else if (last) {
                    over(context.channel(), AttemptOutcome.ANSWERED);
                }
                return;
            }
            if (message instanceof HttpResponse response) {
                if (response.headers().contains(NOT_RUN_HEADER)) {
                    mDeclined = true;
                } else {
                    mAnswerBegun = true;
                    response.headers().remove(HttpHeaderNames.CONNECTION);
                    if (!HttpUtil.isContentLengthSet(response)) {
                        HttpUtil.setTransferEncodingChunked(response, true);
                    }
                }
            }
            if (mDeclined) {
                boolean last = message instanceof LastHttpContent;
                ReferenceCountUtil.release(message);
                if (last) {
                    over(context.channel(), AttemptOutcome.DECLINED);
                }
                return;
            }
            forward(context, message);
        }

        private void forward(ChannelHandlerContext context, HttpObject message) {
            boolean last = message instanceof LastHttpContent;
            if (message instanceof HttpContent || message instanceof HttpResponse) {
                mCaller.writeAndFlush(message);
            }
            context.channel().config().setAutoRead(mCaller.isWritable());
            if (last) {
                over(context.channel(), AttemptOutcome.ANSWERED);
            } else if (!mCaller.isWritable()) {
                FrontHandler.whenWritable(
                        mCaller, () -> context.channel().config().setAutoRead(true));
            }
        }

        private void over(Channel target, AttemptOutcome outcome) {
            if (mOver) {
                return;
            }
            mOver = true;
            target.close();
            if (mCallerGone) {
                mExchanges.inbox().add(new TargetDone(mId, mNumber));
                finish();
                return;
            }
            if (outcome == AttemptOutcome.TRUNCATED) {
                mCaller.close().addListener(ChannelFutureListener.CLOSE);
            }
            end(mNumber, outcome);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            over(
                    context.channel(),
                    mAnswerBegun ? AttemptOutcome.TRUNCATED : AttemptOutcome.BROKEN);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
