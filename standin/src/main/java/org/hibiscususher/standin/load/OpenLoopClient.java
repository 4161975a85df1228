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
 * An open-loop load generator: sends requests at a fixed rate, whether or not earlier ones were
 * answered, and measures each latency from the time when the request was due.
 *
 * <p>Measured from the time of sending, a stalled server would hold back the requests that it
 * delays, and the latencies would miss the stall (coordinated omission). All state is confined to
 * the one event loop of the group.
 */
final class OpenLoopClient {
    private static final long NS_PER_S = 1_000_000_000L;
    private static final long SEND_INTERVAL_US = 500;

    /** How long after the last request was due responses are awaited. */
    private static final long DRAIN_TIMEOUT_NS = 5 * NS_PER_S;

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final EventLoopGroup mGroup;
    private final LoadPlan mPlan;
    private final String mAddress;
    private final String mPath;
    private final String mSecret;
    private final Histogram mLatencyUs = new Histogram(SIGNIFICANT_DIGITS);
    private final Deque<Channel> mIdleChannels = new ArrayDeque<>();
    private final CompletableFuture<LoadResult> mResult = new CompletableFuture<>();
    private long mStartNs;
    private int mOpenChannels;
    private int mSent;
    private int mAnswered;
    private int mFailed;

    private OpenLoopClient(
            EventLoopGroup group, LoadPlan plan, String address, String path, String secret) {
        mGroup = group;
        mPlan = plan;
        mAddress = address;
        mPath = path;
        mSecret = secret;
    }

    /**
     * Runs a plan.
     *
     * @param group group of one event loop
     * @param address IP address and port to connect to
     * @param path path of all requests
     * @param secret API key of the caller
     * @return completes with the result when the run ends
     */
    static CompletableFuture<LoadResult> run(
            EventLoopGroup group, LoadPlan plan, String address, String path, String secret) {
        OpenLoopClient client = new OpenLoopClient(group, plan, address, path, secret);
        group.next().execute(client::start);
        return client.mResult;
    }

    private void start() {
        mStartNs = System.nanoTime();
        sendDue();
    }

    /** Sends the requests that are due, as far as there are connections, and schedules itself. */
    private void sendDue() {
        long nowNs = System.nanoTime();
        long dueCount =
                Math.min(mPlan.requests(), (nowNs - mStartNs) * mPlan.ratePerS() / NS_PER_S);
        while (mSent < dueCount
                && (!mIdleChannels.isEmpty() || mOpenChannels < mPlan.connections())) {
            long dueNs = mStartNs + mSent * NS_PER_S / mPlan.ratePerS();
            mSent++;
            Channel channel = mIdleChannels.pollLast();
            if (channel == null) {
                connect(dueNs);
            } else {
                send(channel, dueNs);
            }
        }
        boolean complete = mAnswered + mFailed == mPlan.requests();
        boolean timedOut = nowNs - mStartNs > mPlan.seconds() * NS_PER_S + DRAIN_TIMEOUT_NS;
        if (complete || timedOut) {
            finish(nowNs);
        } else {
            mGroup.next().schedule(this::sendDue, SEND_INTERVAL_US, TimeUnit.MICROSECONDS);
        }
    }

    private void finish(long nowNs) {
        mIdleChannels.forEach(Channel::close);
        int failed = mPlan.requests() - mAnswered;
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(nowNs - mStartNs);
        mResult.complete(new LoadResult(mAnswered, failed, mLatencyUs.copy(), elapsedMs));
    }

    private void connect(long dueNs) {
        mOpenChannels++;
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
                                mOpenChannels--;
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

    /** Handles the responses of one connection. */
    private final class Receiver extends SimpleChannelInboundHandler<FullHttpResponse> {
        /** When the request in flight was due, by {@link System#nanoTime}; -1 if there is none. */
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
            mIdleChannels.addLast(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mOpenChannels--;
            mIdleChannels.remove(context.channel());
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
