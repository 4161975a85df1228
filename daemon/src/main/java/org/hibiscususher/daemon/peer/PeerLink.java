package org.hibiscususher.daemon.peer;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.hibiscususher.core.message.Input.PeerConnectionRefused;
import org.hibiscususher.core.message.Output.SendPeerMessage;
import org.hibiscususher.wire.http.Addresses;
import org.hibiscususher.wire.peer.PeerCodec;

/**
 * An outgoing connection to one incarnation of another entry.
 *
 * <p>Never queues more than one message, so that a stalled peer can't fill the memory: until the
 * connection is established only the newest message is kept, and a message is dropped if the send
 * buffer is full. Thread-safe.
 */
final class PeerLink {
    private static final String REFUSED_MESSAGE_PREFIX = "Connection refused";

    private final String mMember;
    private final long mIncarnation;
    private final String mAddress;
    private final long mCreatedNs;
    private final ChannelFuture mConnecting;
    private volatile long mLastSendNs;
    private final AtomicReference<SendPeerMessage> mPending = new AtomicReference<>();

    private PeerLink(Bootstrap bootstrap, SendPeerMessage first, long nowNs) {
        mMember = first.memberId();
        mIncarnation = first.message().toIncarnation();
        mAddress = first.address();
        mCreatedNs = nowNs;
        mLastSendNs = nowNs;
        mPending.set(first);
        mConnecting = bootstrap.connect(Addresses.parse(mAddress));
    }

    /**
     * Connects to the receiver of a message and sends it.
     *
     * @param bootstrap client configuration of the connection
     * @param first the first message to send; it names the address and the incarnation
     * @param nowNs current time of the process's monotonic clock, in nanoseconds
     * @param onRefused called on an event loop if the remote host refuses the connection
     */
    static PeerLink connect(
            Bootstrap bootstrap,
            SendPeerMessage first,
            long nowNs,
            Consumer<PeerConnectionRefused> onRefused) {
        PeerLink link = new PeerLink(bootstrap, requireNonNull(first), nowNs);
        link.mConnecting.addListener((ChannelFuture future) -> link.onConnected(future, onRefused));
        return link;
    }

    private void onConnected(ChannelFuture future, Consumer<PeerConnectionRefused> onRefused) {
        if (future.isSuccess()) {
            flush();
        } else if (isRefusal(future.cause())) {
            onRefused.accept(new PeerConnectionRefused(mMember, mIncarnation));
        }
    }

    /**
     * Returns whether the remote host refused the connection, which its operating system does if no
     * process listens at the address.
     *
     * <p>A refusal serves as evidence that the process has ended. The JDK throws the same exception
     * type if the network is unreachable, and only the message differs. A message in another
     * language does not count as a refusal, which is safe: a running process is never taken for
     * ended.
     */
    static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException
                && !(cause instanceof ConnectTimeoutException)
                && Optional.ofNullable(cause.getMessage())
                        .orElse("")
                        .startsWith(REFUSED_MESSAGE_PREFIX);
    }

    /** Returns whether this is a connection to the message's address and incarnation. */
    boolean isFor(SendPeerMessage send) {
        return mAddress.equals(send.address()) && mIncarnation == send.message().toIncarnation();
    }

    /** Returns whether the connection could not be established or is closed. */
    boolean isBroken() {
        return mConnecting.isDone() && !mConnecting.channel().isActive();
    }

    /** Returns when the connection was started, in nanoseconds of the process's clock. */
    long createdNs() {
        return mCreatedNs;
    }

    /** Returns when {@link #send} was last called, in nanoseconds of the process's clock. */
    long lastSendNs() {
        return mLastSendNs;
    }

    /**
     * Sends a message, or keeps it until the connection is established, in place of an earlier one.
     * Drops it if the send buffer is full.
     */
    void send(SendPeerMessage send, long nowNs) {
        mLastSendNs = nowNs;
        mPending.set(send);
        if (mConnecting.isSuccess()) {
            flush();
        }
    }

    private void flush() {
        SendPeerMessage send = mPending.getAndSet(null);
        Channel channel = mConnecting.channel();
        if (send != null && channel.isWritable()) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(PeerCodec.encode(send.message())));
        }
    }

    /** Closes the connection. */
    void close() {
        mConnecting.channel().close();
    }
}
