package org.hibiscususher.standin.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.hibiscususher.wire.http.Addresses;

/**
 * Sends requests at a fixed rate, whether or not earlier ones were answered, and times each from
 * when it was due. All state belongs to the one event loop of the group.
 */
final class OpenLoop {
    private static final long NS_PER_S = 1_000_000_000L;
    private static final long PUMP_INTERVAL_US = 500;
    private static final long DRAIN_NS = 5 * NS_PER_S;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final EventLoopGroup mGroup;
    private final LoadPlan mPlan;
    private final String mAddress;
    private final String mPath;
    private final String mSecret;
    private final Histogram mLatencyUs = new Histogram(SIGNIFICANT_DIGITS);
    private final Deque<Channel> mIdle = new ArrayDeque<>();
    private final CompletableFuture<LoadResult> mResult = new CompletableFuture<>();
    private long mStartNs;
    private int mOpen;
    private int mSent;
    private int mAnswered;
    private int mFailed;

    private OpenLoop(
            EventLoopGroup group, LoadPlan plan, String address, String path, String secret) {
        mGroup = group;
        mPlan = plan;
        mAddress = address;
        mPath = path;
        mSecret = secret;
    }

    /** Runs the plan against an address and gives the result. */
    static CompletableFuture<LoadResult> run(
            EventLoopGroup group, LoadPlan plan, String address, String path, String secret) {
        OpenLoop loop = new OpenLoop(group, plan, address, path, secret);
        group.next().execute(loop::begin);
        return loop.mResult;
    }

    private void begin() {
        mStartNs = System.nanoTime();
        pump();
    }

    private void pump() {
        long nowNs = System.nanoTime();
        long due = Math.min(mPlan.requests(), (nowNs - mStartNs) * mPlan.ratePerS() / NS_PER_S);
        while (mSent < due && (!mIdle.isEmpty() || mOpen < mPlan.connections())) {
            long dueNs = mStartNs + mSent * NS_PER_S / mPlan.ratePerS();
            mSent++;
            Channel channel = mIdle.pollLast();
            if (channel == null) {
                connect(dueNs);
            } else {
                send(channel, dueNs);
            }
        }
        boolean all = mAnswered + mFailed == mPlan.requests();
        boolean late = nowNs - mStartNs > mPlan.seconds() * NS_PER_S + DRAIN_NS;
        if (all || late) {
            end(nowNs);
        } else {
            mGroup.next().schedule(this::pump, PUMP_INTERVAL_US, TimeUnit.MICROSECONDS);
        }
    }

    private void end(long nowNs) {
        mIdle.forEach(Channel::close);
        int unanswered = mPlan.requests() - mAnswered;
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(nowNs - mStartNs);
        mResult.complete(new LoadResult(mAnswered, unanswered, mLatencyUs.copy(), elapsedMs));
    }

    private void connect(long dueNs) {
        mOpen++;
        new Bootstrap()
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(new HttpClientCodec())
                                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                        .addLast(new Receiver());
                            }
                        })
                .connect(Addresses.parse(mAddress))
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                send(connected.channel(), dueNs);
                            } else {
                                mOpen--;
                                mFailed++;
                            }
                        });
    }

    private void send(Channel channel, long dueNs) {
        channel.pipeline().get(Receiver.class).mDueNs = dueNs;
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, mPath, Unpooled.EMPTY_BUFFER);
        request.headers()
                .set(HttpHeaderNames.HOST, mAddress)
                .set(HttpHeaderNames.AUTHORIZATION, "Bearer " + mSecret);
        channel.writeAndFlush(request);
    }

    /** Takes the answers of one connection. */
    private final class Receiver extends SimpleChannelInboundHandler<FullHttpResponse> {
        private long mDueNs = -1;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.status().equals(HttpResponseStatus.OK)) {
                mAnswered++;
                mLatencyUs.recordValue((System.nanoTime() - mDueNs) / 1_000);
            } else {
                mFailed++;
            }
            mDueNs = -1;
            mIdle.addLast(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mOpen--;
            mIdle.remove(context.channel());
            if (mDueNs >= 0) {
                mFailed++;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
