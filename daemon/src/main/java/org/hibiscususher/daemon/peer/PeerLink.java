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
 * One connection to one process of another entry.
 *
 * <p>The newest message that comes while the connection is being set up is sent once it stands.
 * Messages for which the connection has no room are dropped. Thread-safe.
 */
final class PeerLink {
    private static final String REFUSED = "Connection refused";

    private final String mMember;
    private final long mIncarnation;
    private final String mAddress;
    private final long mSinceNs;
    private final ChannelFuture mConnecting;
    private volatile long mUsedNs;
    private final AtomicReference<SendPeerMessage> mPending = new AtomicReference<>();

    private PeerLink(Bootstrap bootstrap, SendPeerMessage first, long nowNs) {
        mMember = first.memberId();
        mIncarnation = first.message().toIncarnation();
        mAddress = first.address();
        mSinceNs = nowNs;
        mUsedNs = nowNs;
        mPending.set(first);
        mConnecting = bootstrap.connect(Addresses.parse(mAddress));
    }

    /**
     * Connects to the receiver of a message and sends it.
     *
     * @param bootstrap how to connect
     * @param first the message
     * @param nowNs nanoseconds of the process's clock
     * @param refusals takes a refusal of the connection
     */
    static PeerLink connect(
            Bootstrap bootstrap,
            SendPeerMessage first,
            long nowNs,
            Consumer<PeerConnectionRefused> refusals) {
        PeerLink link = new PeerLink(bootstrap, requireNonNull(first), nowNs);
        link.mConnecting.addListener((ChannelFuture done) -> link.connected(done, refusals));
        return link;
    }

    private void connected(ChannelFuture done, Consumer<PeerConnectionRefused> refusals) {
        if (done.isSuccess()) {
            flush();
        } else if (isRefusal(done.cause())) {
            refusals.accept(new PeerConnectionRefused(mMember, mIncarnation));
        }
    }

    /**
     * Returns whether the other side itself refused, which its system does when no process listens.
     *
     * <p>The JDK reports an unreachable network by the same type; only the text tells them apart. A
     * text in another language counts as no refusal, which is the safe side.
     */
    static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException
                && !(cause instanceof ConnectTimeoutException)
                && Optional.ofNullable(cause.getMessage()).orElse("").startsWith(REFUSED);
    }

    /** Returns whether the link leads to the process that a message is meant for. */
    boolean leadsTo(SendPeerMessage send) {
        return mAddress.equals(send.address()) && mIncarnation == send.message().toIncarnation();
    }

    /** Returns whether the connection could not be set up or has broken. */
    boolean isBroken() {
        return mConnecting.isDone() && !mConnecting.channel().isActive();
    }

    /** Returns when the link was made, in nanoseconds of the process's clock. */
    long sinceNs() {
        return mSinceNs;
    }

    /** Returns when a message was last handed over, in nanoseconds of the process's clock. */
    long usedNs() {
        return mUsedNs;
    }

    /** Sends a message, keeps it until the connection stands, or drops it. */
    void send(SendPeerMessage send, long nowNs) {
        mUsedNs = nowNs;
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
