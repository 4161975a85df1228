package org.hibiscususher.daemon.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.PredecessorRelinquished;
import org.hibiscususher.daemon.control.Inbox;
import org.hibiscususher.wire.scheduler.ForwardMessage;

/**
 * Sends requests to the entry that owns the scheduling, over one connection at a time.
 *
 * <p>All state is confined to one event loop; the public methods may be called on any thread.
 */
public final class ForwardClient {
    private static final Logger LOG = System.getLogger(ForwardClient.class.getName());
    private static final int CONNECT_TIMEOUT_MS = 300;

    private final EventLoop mLoop;
    private final Bootstrap mBootstrap;
    private final Inbox<SchedulerInput> mInbox;

    /** Connection for new calls; null before the first one. */
    private ForwardLink mLink;

    private ForwardClient(EventLoop loop, Inbox<SchedulerInput> inbox) {
        mLoop = loop;
        mInbox = inbox;
        mBootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    }

    /**
     * Creates a client.
     *
     * @param group event loops, of which the client uses one; the caller closes them
     * @param inbox receives the outcome of each forwarded request
     */
    public static ForwardClient create(EventLoopGroup group, Inbox<SchedulerInput> inbox) {
        return new ForwardClient(group.next(), inbox);
    }

    /**
     * Forwards a request.
     *
     * <p>The inbox then receives a {@link ForwardAnswered} or a {@link ForwardFailed}.
     *
     * @param callId id of the request, which the outcome names
     * @param address IP number and port of the owner
     * @param request request of a caller
     */
    public void forward(long callId, String address, JobRequest request) {
        send(
                address,
                new ForwardCall(
                        id -> ForwardMessage.of(id, request),
                        response -> mInbox.add(new ForwardAnswered(callId, response)),
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
                new ForwardCall(
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
                new ForwardCall(
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

    private void send(String address, ForwardCall call) {
        mLoop.execute(() -> sendOnLoop(address, call));
    }

    /**
     * Sends a call on the current connection, or on a new one if that one leads elsewhere or is
     * closed. The former connection stays open until the calls on it have ended.
     */
    private void sendOnLoop(String address, ForwardCall call) {
        if (mLink == null || !mLink.isUsableFor(address)) {
            if (mLink != null) {
                mLink.retire();
            }
            try {
                mLink = ForwardLink.open(mLoop, mBootstrap, address);
            } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
                LOG.log(Level.WARNING, "event=address-invalid address=\"{0}\"", address, e);
                call.onFailure().accept(false);
                return;
            }
        }
        mLink.send(call);
    }
}
