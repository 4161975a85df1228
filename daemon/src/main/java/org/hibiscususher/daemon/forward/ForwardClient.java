package org.hibiscususher.daemon.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobResponse;
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
    private static final Logger LOG = System.getLogger(ForwardClient.class.getName());
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

    /** Calls without a response, by the id that names them on the connections. */
    private final Map<Long, Unanswered> mUnanswered = new HashMap<>();

    private long mLastWireId;
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
     * @param calls completed with the responses to forwarded requests
     * @param inbox receives a {@link ForwardFailed} for each forwarded request without a response
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
        send(
                address,
                new Call(
                        id -> ForwardMessage.of(id, request),
                        response -> mCalls.complete(callId, response),
                        received -> mInbox.add(new ForwardFailed(callId, address, received))));
    }

    /**
     * Asks the owner of an earlier term to send no more orders; once it has agreed, the inbox
     * receives a {@link PredecessorRelinquished}.
     *
     * @param address IP number and port of the earlier owner
     * @param generation generation of this entry's term
     */
    public void requestRelinquish(String address, long generation) {
        send(
                address,
                new Call(
                        id -> ForwardMessage.relinquishRequest(id, generation),
                        response -> onRelinquishAnswered(response, generation),
                        received -> logFailure("relinquish", address, received)));
    }

    private void onRelinquishAnswered(JobResponse response, long generation) {
        if (response.kind() == JobResponseKind.ACCEPTED) {
            mInbox.add(new PredecessorRelinquished(generation));
        }
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
        send(
                address,
                new Call(
                        id -> ForwardMessage.handoverOffer(id, generation),
                        response -> {},
                        received -> logFailure("handover", address, received)));
    }

    private static void logFailure(String call, String address, boolean maybeReceived) {
        LOG.log(
                Level.INFO,
                "event=link-call-failed call={0} address={1} sent={2}",
                call,
                address,
                maybeReceived);
    }

    private void send(String address, Call call) {
        mLoop.execute(() -> connect(address, connected -> write(connected, call)));
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

    private void write(ChannelFuture connected, Call call) {
        if (!connected.isSuccess()) {
            call.onFailure().accept(false);
            return;
        }
        long id = ++mLastWireId;
        Channel channel = connected.channel();
        mUnanswered.put(id, new Unanswered(call, channel));
        ForwardPipeline.send(channel, call.message().apply(id));
        mLoop.schedule(() -> onTimeout(id), RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void onMessage(ForwardMessage message) {
        Unanswered answered = mUnanswered.remove(message.callId());
        if (answered != null) {
            message.response().ifPresent(answered.call().onResponse());
        }
    }

    private void onTimeout(long id) {
        Unanswered overdue = mUnanswered.get(id);
        if (overdue != null) {
            overdue.channel().close();
        }
    }

    /** Fails the calls without a response on a closed connection; they may have been received. */
    private void onClosed(ChannelFuture closed) {
        List<Unanswered> lost =
                mUnanswered.values().stream().filter(u -> u.channel() == closed.channel()).toList();
        mUnanswered.values().removeAll(lost);
        lost.forEach(unanswered -> unanswered.call().onFailure().accept(true));
    }

    /**
     * A message to another entry. Exactly one of the callbacks is called, once, on the event loop.
     *
     * @param message creates the message from the id that names the call on the connection
     * @param onResponse receives the response
     * @param onFailure called if there is no response; receives whether the other entry may have
     *     received the message
     */
    private record Call(
            LongFunction<ForwardMessage> message,
            Consumer<JobResponse> onResponse,
            Consumer<Boolean> onFailure) {}

    private record Unanswered(Call call, Channel channel) {}
}
