package org.hibiscususher.daemon.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Input.PeerConnectionRefused;
import org.hibiscususher.core.message.Output.SendPeerMessage;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.daemon.control.Inbox;
import org.hibiscususher.wire.http.Addresses;
import org.hibiscususher.wire.peer.PeerCodec;

/**
 * Sends messages to other entries and receives theirs, on one connection for each direction.
 *
 * <p>A message that can't be sent soon is dropped; the protocol tolerates the loss of any message.
 * {@link #send} must be called by one thread only. Messages are received on the event loops.
 */
public final class PeerLinks {
    private static final Logger LOG = System.getLogger(PeerLinks.class.getName());
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long RECONNECT_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long SILENCE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(3);
    private static final long IDLE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(10);
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;
    private static final int LENGTH_BYTES = 4;

    private final EventLoopGroup mGroup;
    private final Inbox<Input> mInbox;
    private final LongSupplier mClockNs;
    private final Map<String, PeerLink> mLinks = new ConcurrentHashMap<>();
    private final Map<String, Long> mLastReceivedNs = new ConcurrentHashMap<>();
    private long mLastSweepNs;

    private PeerLinks(EventLoopGroup group, Inbox<Input> inbox, LongSupplier clockNs) {
        mGroup = group;
        mInbox = inbox;
        mClockNs = clockNs;
        mLastSweepNs = clockNs.getAsLong();
    }

    /**
     * Binds the server for other entries' connections.
     *
     * @param group event loops of all connections; the caller closes them
     * @param address IP number and port to listen on
     * @param inbox receives the messages and the refused connections
     * @throws IOException if the address can't be bound
     */
    public static PeerLinks listen(EventLoopGroup group, String address, Inbox<Input> inbox)
            throws IOException {
        return listen(group, address, inbox, System::nanoTime);
    }

    /** Binds the server, with a monotonic clock in nanoseconds in place of the system's. */
    static PeerLinks listen(
            EventLoopGroup group, String address, Inbox<Input> inbox, LongSupplier clockNs)
            throws IOException {
        PeerLinks links = new PeerLinks(group, inbox, clockNs);
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(links.pipeline())
                        .bind(Addresses.parse(address))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen for peers on " + address, bound.cause());
        }
        return links;
    }

    /**
     * Sends a message, or drops it if the send buffer of the connection is full or the address of
     * the member is malformed.
     *
     * <p>Never blocks, so that a peer that does not read can't delay messages to the others.
     */
    public void send(SendPeerMessage send) {
        try {
            deliver(send);
        } catch (IllegalArgumentException e) {
            LOG.log(
                    Level.WARNING,
                    "event=address-malformed member="
                            + send.memberId()
                            + " cause=\""
                            + e.getMessage()
                            + "\"");
        }
    }

    private void deliver(SendPeerMessage send) {
        long nowNs = mClockNs.getAsLong();
        PeerLink link = mLinks.get(send.memberId());
        if (link != null && !link.isFor(send)) {
            link.close();
            link = null;
        }
        if (link == null) {
            mLinks.put(send.memberId(), connect(send, nowNs));
        } else if (shouldReconnect(send.memberId(), link, nowNs)) {
            link.close();
            mLinks.put(send.memberId(), connect(send, nowNs));
        } else {
            link.send(send, nowNs);
        }
        closeIdle(nowNs);
    }

    /** Closes the connections to members to which nothing was sent for the idle timeout. */
    private void closeIdle(long nowNs) {
        if (nowNs - mLastSweepNs < RECONNECT_INTERVAL_NS) {
            return;
        }
        mLastSweepNs = nowNs;
        for (Map.Entry<String, PeerLink> entry : mLinks.entrySet()) {
            if (nowNs - entry.getValue().lastSendNs() >= IDLE_TIMEOUT_NS) {
                entry.getValue().close();
                mLinks.remove(entry.getKey());
                mLastReceivedNs.remove(entry.getKey());
            }
        }
    }

    /**
     * Returns whether to replace the connection: it is broken, or nothing was received from the
     * member for the silence timeout.
     *
     * <p>After a network partition, a connection from before it would otherwise stay silent until
     * the next TCP retransmission, whose interval has grown during the partition.
     */
    private boolean shouldReconnect(String member, PeerLink link, long nowNs) {
        long ageNs = nowNs - link.createdNs();
        if (link.isBroken()) {
            return ageNs >= RECONNECT_INTERVAL_NS;
        }
        long lastReceivedNs =
                Math.max(mLastReceivedNs.getOrDefault(member, link.createdNs()), link.createdNs());
        return nowNs - lastReceivedNs >= SILENCE_TIMEOUT_NS;
    }

    private PeerLink connect(SendPeerMessage send, long nowNs) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(pipeline());
        return PeerLink.connect(bootstrap, send, nowNs, this::onRefused);
    }

    private void onRefused(PeerConnectionRefused refused) {
        LOG.log(Level.DEBUG, "event=peer-refused member=" + refused.memberId());
        mInbox.offer(refused);
    }

    private ChannelInitializer<Channel> pipeline() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new Receiver());
            }
        };
    }

    private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame)
                throws IOException {
            byte[] bytes = new byte[frame.readableBytes()];
            frame.readBytes(bytes);
            PeerMessage message = PeerCodec.decode(bytes);
            mLastReceivedNs.put(message.from(), mClockNs.getAsLong());
            mInbox.offer(new Input.PeerMessageReceived(message));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(Level.INFO, "event=peer-link-broken cause=\"" + cause.getMessage() + "\"");
            context.close();
        }
    }
}
