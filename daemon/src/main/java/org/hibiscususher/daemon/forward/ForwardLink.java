package org.hibiscususher.daemon.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.wire.http.Addresses;
import org.hibiscususher.wire.scheduler.ForwardMessage;

/**
 * A connection to another entry, and the calls on it that await a response.
 *
 * <p>Not thread-safe: all methods run on one event loop.
 */
final class ForwardLink {
    private static final Logger LOG = System.getLogger(ForwardLink.class.getName());

    /** Time without a response after which a call fails, in milliseconds. */
    private static final int RESPONSE_TIMEOUT_MS = 1_500;

    private final EventLoop mLoop;
    private final String mAddress;
    private final ChannelFuture mConnected;

    /** Calls without a response, by the id that names them on the connection. */
    private final Map<Long, ForwardCall> mUnanswered = new HashMap<>();

    private long mLastId;
    private long mReceivedCount;
    private boolean mRetired;

    private ForwardLink(EventLoop loop, Bootstrap base, String address) {
        mLoop = loop;
        mAddress = address;
        mConnected =
                base.clone()
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        ForwardPipeline.addHandlers(
                                                channel, (c, m) -> onMessage(m));
                                    }
                                })
                        .connect(Addresses.parse(address));
        mConnected.channel().closeFuture().addListener(f -> onClosed());
    }

    /**
     * Opens a connection.
     *
     * @param loop event loop on which all methods of the result run
     * @param base options of the connection
     * @param address IP number and port of the other entry
     * @throws IllegalArgumentException if the address is malformed
     * @throws IndexOutOfBoundsException if the address has no port
     */
    static ForwardLink open(EventLoop loop, Bootstrap base, String address) {
        return new ForwardLink(loop, base, address);
    }

    /** Returns whether this connection leads to an address and takes more calls. */
    boolean isUsableFor(String address) {
        boolean open = !mConnected.isDone() || mConnected.channel().isActive();
        return open && !mRetired && mAddress.equals(address);
    }

    /** Sends a call as soon as the connection is established. */
    void send(ForwardCall call) {
        long id = ++mLastId;
        mUnanswered.put(id, call);
        mConnected.addListener(f -> write(id));
        long receivedBefore = mReceivedCount;
        mLoop.schedule(
                () -> onTimeout(id, receivedBefore), RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes the connection once all calls on it have ended; it takes no more of them. */
    void retire() {
        mRetired = true;
        closeIfUnused();
    }

    private void closeIfUnused() {
        if (mRetired && mUnanswered.isEmpty()) {
            mConnected.channel().close();
        }
    }

    private void write(long id) {
        ForwardCall call = mUnanswered.get(id);
        if (call == null) {
            return;
        }
        if (mConnected.isSuccess()) {
            ForwardPipeline.send(mConnected.channel(), call.message().apply(id));
        } else {
            fail(id);
        }
    }

    private void onMessage(ForwardMessage message) {
        mReceivedCount++;
        ForwardCall call = mUnanswered.remove(message.callId());
        if (call != null) {
            message.response().ifPresent(call.onResponse());
        }
        closeIfUnused();
    }

    /**
     * Fails an overdue call. A connection on which nothing arrived since the call was sent counts
     * as dead and is closed, which fails the other calls on it as well.
     */
    private void onTimeout(long id, long receivedBefore) {
        if (!mUnanswered.containsKey(id)) {
            return;
        }
        fail(id);
        if (mReceivedCount == receivedBefore) {
            LOG.log(Level.INFO, "event=link-silent address={0}", mAddress);
            mConnected.channel().close();
        }
    }

    private void onClosed() {
        List.copyOf(mUnanswered.keySet()).forEach(this::fail);
    }

    /** Ends a call without a response; on a connection that was established it may have arrived. */
    private void fail(long id) {
        ForwardCall call = mUnanswered.remove(id);
        if (call != null) {
            call.onFailure().accept(mConnected.isSuccess());
        }
        closeIfUnused();
    }
}
