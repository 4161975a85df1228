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
 * Sends requests to the entry that owns the scheduling, over one connection.
 *
 * <p>All state is confined to one event loop; the public methods may be called on any thread.
 */
public final class ForwardClient {
    private static final int CONNECT_TIMEOUT_MS = 300;

    /**
     * Time without a response after which a request counts as lost, in milliseconds. Its connection
     * then counts as dead and is closed, which fails the other requests on it as well.
     */
    private static final int RESPONSE_TIMEOUT_MS = 1_500;

    private final EventLoop mLoop;
    private final Bootstrap mBootstrap;
    private final PendingCalls mCalls;
    private final Inbox<SchedulerInput> mInbox;

    /** Connection on which each request without a response was sent, by call id. */
    private final Map<Long, Channel> mUnanswered = new HashMap<>();

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
                                        ForwardPipeline.addHandlers(
                                                channel, (c, m) -> onMessage(m));
                                    }
                                });
    }

    /**
     * Creates a client.
     *
     * @param group event loops, of which the client uses one; the caller closes them
     * @param calls completed with the responses
     * @param inbox receives a {@link ForwardFailed} for each request without a response
     */
    public static ForwardClient create(
            EventLoopGroup group, PendingCalls calls, Inbox<SchedulerInput> inbox) {
        return new ForwardClient(group.next(), calls, inbox);
    }

    /**
     * Forwards a request.
     *
     * <p>Its call is then completed with a response, or the inbox receives a {@link ForwardFailed}.
     *
     * @param callId id of the call in {@link PendingCalls}
     * @param address IP number and port of the owner
     * @param request request of a caller
     */
    public void forward(long callId, String address, JobRequest request) {
        send(address, ForwardMessage.of(callId, request));
    }

    /**
     * Asks the owner of an earlier term to send no more orders; once it has agreed, the inbox
     * receives a {@link PredecessorRelinquished}.
     *
     * @param address IP number and port of the earlier owner
     * @param generation generation of this entry's term
     */
    public void requestRelinquish(String address, long generation) {
        long callId =
                mCalls.register(
                        response -> {
                            if (response.kind() == JobResponseKind.ACCEPTED) {
                                mInbox.add(new PredecessorRelinquished(generation));
                            }
                        });
        send(address, ForwardMessage.relinquishRequest(callId, generation));
    }

    /**
     * Offers the ownership to another entry.
     *
     * <p>The response only confirms receipt and is ignored: whether the entry takes the ownership
     * over shows in the store.
     *
     * @param address IP number and port of the other entry
     * @param generation generation of the term that this entry offers to end
     */
    public void offerHandover(String address, long generation) {
        long callId = mCalls.register(response -> {});
        send(address, ForwardMessage.handoverOffer(callId, generation));
    }

    private void send(String address, ForwardMessage message) {
        mLoop.execute(() -> connect(address, channel -> write(channel, address, message)));
    }

    /**
     * Calls the listener once a connection to the address is established or has failed.
     *
     * <p>Uses the current connection if it leads to the address and is not closed, else replaces
     * it.
     */
    private void connect(String address, Consumer<ChannelFuture> listener) {
        boolean reusable =
                mConnecting != null
                        && mAddress.equals(address)
                        && (!mConnecting.isDone() || mConnecting.channel().isActive());
        if (!reusable) {
            if (mConnecting != null) {
                mConnecting.channel().close();
            }
            mAddress = address;
            mConnecting = mBootstrap.connect(Addresses.parse(address));
            mConnecting.channel().closeFuture().addListener(f -> onClosed((ChannelFuture) f));
        }
        mConnecting.addListener(f -> listener.accept((ChannelFuture) f));
    }

    private void write(ChannelFuture connected, String address, ForwardMessage message) {
        long callId = message.callId();
        if (!connected.isSuccess()) {
            mInbox.add(new ForwardFailed(callId, address, false));
            return;
        }
        Channel channel = connected.channel();
        mUnanswered.put(callId, channel);
        ForwardPipeline.send(channel, message);
        mLoop.schedule(() -> onTimeout(callId), RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void onMessage(ForwardMessage message) {
        if (mUnanswered.remove(message.callId()) != null) {
            message.response().ifPresent(response -> mCalls.complete(message.callId(), response));
        }
    }

    private void onTimeout(long callId) {
        Channel channel = mUnanswered.get(callId);
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Fails the requests without a response on a closed connection; they may have been received.
     */
    private void onClosed(ChannelFuture closed) {
        List<Long> lost = new ArrayList<>();
        mUnanswered.forEach(
                (id, channel) -> {
                    if (channel == closed.channel()) {
                        lost.add(id);
                    }
                });
        for (long id : lost) {
            mUnanswered.remove(id);
            String address = String.valueOf(closed.channel().remoteAddress());
            mInbox.add(new ForwardFailed(id, address, true));
        }
    }
}
