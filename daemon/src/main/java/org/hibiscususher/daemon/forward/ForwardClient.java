package org.hibiscususher.daemon.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.PredecessorRelinquished;
import org.hibiscususher.daemon.control.Inbox;
import org.hibiscususher.wire.http.Addresses;
import org.hibiscususher.wire.scheduler.ForwardMessage;

/**
 * Passes requests on to the entry that owns the scheduling, over one connection.
 *
 * <p>All state belongs to one event loop; {@link #forward} may be called on any thread.
 */
public final class ForwardClient {
    private static final int CONNECT_TIMEOUT_MS = 300;

    /** Silence after which a request counts as lost and its connection as dead. */
    private static final int ANSWER_TIMEOUT_MS = 1_500;

    private final EventLoop mLoop;
    private final Bootstrap mBootstrap;
    private final PendingCalls mCalls;
    private final Inbox<SchedulerInput> mInbox;
    private final Map<Long, Channel> mSent = new HashMap<>();
    private String mAddress = "";
    private ChannelFuture mConnecting;

    private ForwardClient(EventLoop loop, PendingCalls calls, Inbox<SchedulerInput> inbox) {
        mLoop = loop;
        mCalls = calls;
        mInbox = inbox;
        mBootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        LinkPipeline.add(channel, (c, m) -> received(m));
                                    }
                                });
    }

    /**
     * Creates a client.
     *
     * @param group event loops; the owner closes them
     * @param calls takes the answers
     * @param inbox hears of requests that got none
     */
    public static ForwardClient create(
            EventLoopGroup group, PendingCalls calls, Inbox<SchedulerInput> inbox) {
        return new ForwardClient(group.next(), calls, inbox);
    }

    /** Passes a request on; it ends with an answer or a {@link ForwardFailed}. */
    public void forward(long callId, String address, JobRequest call) {
        send(address, ForwardMessage.of(callId, call));
    }

    /** Asks the owner of an earlier term to give no more orders; tells when it has agreed. */
    public void requestRelinquish(String address, long generation) {
        long callId =
                mCalls.register(
                        answer -> {
                            if (answer.kind() == JobResponseKind.ACCEPTED) {
                                mInbox.add(new PredecessorRelinquished(generation));
                            }
                        });
        send(address, ForwardMessage.relinquishRequest(callId, generation));
    }

    /** Offers the ownership to another entry, which does not tell what it makes of it. */
    public void offerHandover(String address, long generation) {
        long callId = mCalls.register(answer -> {});
        send(address, ForwardMessage.handoverOffer(callId, generation));
    }

    private void send(String address, ForwardMessage message) {
        mLoop.execute(() -> connect(address, channel -> write(channel, address, message)));
    }

    private void connect(String address, Consumer<ChannelFuture> then) {
        boolean usable =
                mConnecting != null
                        && mAddress.equals(address)
                        && (!mConnecting.isDone() || mConnecting.channel().isActive());
        if (!usable) {
            if (mConnecting != null) {
                mConnecting.channel().close();
            }
            mAddress = address;
            mConnecting = mBootstrap.connect(Addresses.parse(address));
            mConnecting.channel().closeFuture().addListener(f -> closed((ChannelFuture) f));
        }
        mConnecting.addListener(f -> then.accept((ChannelFuture) f));
    }

    private void write(ChannelFuture connected, String address, ForwardMessage message) {
        long callId = message.callId();
        if (!connected.isSuccess()) {
            mInbox.add(new ForwardFailed(callId, address, false));
            return;
        }
        Channel channel = connected.channel();
        mSent.put(callId, channel);
        LinkPipeline.send(channel, message);
        mLoop.schedule(() -> timeOut(callId), ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void received(ForwardMessage message) {
        if (mSent.remove(message.callId()) != null) {
            message.response().ifPresent(answer -> mCalls.complete(message.callId(), answer));
        }
    }

    private void timeOut(long callId) {
        Channel channel = mSent.get(callId);
        if (channel != null) {
            channel.close();
        }
    }

    private void closed(ChannelFuture closed) {
        List<Long> lost = new ArrayList<>();
        mSent.forEach(
                (id, channel) -> {
                    if (channel == closed.channel()) {
                        lost.add(id);
                    }
                });
        for (long id : lost) {
            mSent.remove(id);
            String address = String.valueOf(closed.channel().remoteAddress());
            mInbox.add(new ForwardFailed(id, address, true));
        }
    }
}
