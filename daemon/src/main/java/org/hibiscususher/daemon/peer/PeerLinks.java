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
 * Sends messages to other entries and receives theirs, one connection for each direction.
 *
 * <p>A message that can't be sent soon is dropped: the core's messages are safe to lose. Messages
 * are sent from one thread; they arrive on the event loops.
 */
public final class PeerLinks {
    private static final Logger LOG = System.getLogger(PeerLinks.class.getName());
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long RECONNECT_NS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long UNHEARD_NS = TimeUnit.SECONDS.toNanos(3);
    private static final long IDLE_NS = TimeUnit.SECONDS.toNanos(10);
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;
    private static final int LENGTH_BYTES = 4;

    private final EventLoopGroup mGroup;
    private final Inbox<Input> mInbox;
    private final LongSupplier mClock;
    private final Map<String, PeerLink> mLinks = new ConcurrentHashMap<>();
    private final Map<String, Long> mHeardNs = new ConcurrentHashMap<>();
    private long mSweptNs;

    private PeerLinks(EventLoopGroup group, Inbox<Input> inbox, LongSupplier clock) {
        mGroup = group;
        mInbox = inbox;
        mClock = clock;
        mSweptNs = clock.getAsLong();
    }

    /**
     * Listens for other entries.
     *
     * @param group event loops; the owner closes them
     * @param address IP number and port
     * @param inbox takes the messages
     * @throws IOException if the address can't be bound
     */
    public static PeerLinks listen(EventLoopGroup group, String address, Inbox<Input> inbox)
            throws IOException {
        return listen(group, address, inbox, System::nanoTime);
    }

    /** Listens for other entries, by a clock that gives nanoseconds. */
    static PeerLinks listen(
            EventLoopGroup group, String address, Inbox<Input> inbox, LongSupplier clock)
            throws IOException {
        PeerLinks links = new PeerLinks(group, inbox, clock);
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
     * Sends a message, or drops it if the connection has no room.
     *
     * <p>Never waits: what one peer does not take has no effect on the others.
     */
    public void send(SendPeerMessage send) {
        long nowNs = mClock.getAsLong();
        PeerLink link = mLinks.get(send.memberId());
        if (link != null && !link.leadsTo(send)) {
            link.close();
            link = null;
        }
        if (link == null) {
            mLinks.put(send.memberId(), connect(send, nowNs));
        } else if (mustReconnect(send.memberId(), link, nowNs)) {
            link.close();
            mLinks.put(send.memberId(), connect(send, nowNs));
        } else {
            link.send(send, nowNs);
        }
        closeIdle(nowNs);
    }

    /** Closes the links over which nothing was sent for long. */
    private void closeIdle(long nowNs) {
        if (nowNs - mSweptNs < RECONNECT_NS) {
            return;
        }
        mSweptNs = nowNs;
        for (Map.Entry<String, PeerLink> entry : mLinks.entrySet()) {
            if (nowNs - entry.getValue().usedNs() >= IDLE_NS) {
                entry.getValue().close();
                mLinks.remove(entry.getKey());
                mHeardNs.remove(entry.getKey());
            }
        }
    }

    /**
     * Returns whether to set up the connection anew: it broke, or the member is not heard.
     *
     * <p>A connection across a cut that has healed would otherwise stay silent for as long as the
     * system waits between retransmissions.
     */
    private boolean mustReconnect(String member, PeerLink link, long nowNs) {
        long ageNs = nowNs - link.sinceNs();
        if (link.isBroken()) {
            return ageNs >= RECONNECT_NS;
        }
        long heardNs = Math.max(mHeardNs.getOrDefault(member, link.sinceNs()), link.sinceNs());
        return nowNs - heardNs >= UNHEARD_NS;
    }

    private PeerLink connect(SendPeerMessage send, long nowNs) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(pipeline());
        return PeerLink.connect(bootstrap, send, nowNs, this::refused);
    }

    private void refused(PeerConnectionRefused refused) {
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
            mHeardNs.put(message.from(), mClock.getAsLong());
            mInbox.offer(new Input.PeerMessageReceived(message));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(Level.INFO, "event=peer-link-broken cause=\"" + cause.getMessage() + "\"");
            context.close();
        }
    }
}
