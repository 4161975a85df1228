package org.hibiscususher.daemon.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output.SendPeer;
import org.hibiscususher.daemon.control.Inbox;
import org.hibiscususher.wire.http.Addresses;
import org.hibiscususher.wire.peer.PeerCodec;

/**
 * Sends messages to other entries and receives theirs, one connection for each direction.
 *
 * <p>Thread-safe. A message that can't be sent at once is dropped: the core's messages are safe to
 * lose.
 */
public final class PeerLinks {
    private static final Logger LOG = System.getLogger(PeerLinks.class.getName());
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;
    private static final int LENGTH_BYTES = 4;

    private final EventLoopGroup mGroup;
    private final Inbox mInbox;
    private final Map<String, ChannelFuture> mLinks = new ConcurrentHashMap<>();

    private PeerLinks(EventLoopGroup group, Inbox inbox) {
        mGroup = group;
        mInbox = inbox;
    }

    /**
     * Listens for other entries.
     *
     * @param group event loops; the owner closes them
     * @param address IP number and port
     * @param inbox takes the messages
     * @throws IOException if the address can't be bound
     */
    public static PeerLinks listen(EventLoopGroup group, String address, Inbox inbox)
            throws IOException {
        PeerLinks links = new PeerLinks(group, inbox);
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(links.pipeline(true))
                        .bind(Addresses.parse(address))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen for peers on " + address, bound.cause());
        }
        return links;
    }

    /** Sends a message, or drops it if there is no connection. */
    public void send(SendPeer send) {
        ChannelFuture link = mLinks.computeIfAbsent(send.address(), a -> connect(send));
        if (!link.isDone()) {
            return;
        }
        Channel channel = link.channel();
        if (!link.isSuccess() || !channel.isActive()) {
            mLinks.remove(send.address(), link);
        } else if (channel.isWritable()) {
            byte[] bytes = PeerCodec.encode(send.message());
            channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
        }
    }

    private ChannelFuture connect(SendPeer send) {
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(pipeline(false))
                        .connect(Addresses.parse(send.address()));
        connecting.addListener(
                (ChannelFuture done) -> {
                    if (done.cause() instanceof ConnectException) {
                        LOG.log(Level.DEBUG, "event=peer-refused member=" + send.memberId());
                    }
                });
        return connecting;
    }

    private ChannelInitializer<Channel> pipeline(boolean receives) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES));
                if (receives) {
                    channel.pipeline().addLast(new Receiver());
                }
            }
        };
    }

    private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame)
                throws IOException {
            byte[] bytes = new byte[frame.readableBytes()];
            frame.readBytes(bytes);
            mInbox.offer(new Input.PeerReceived(PeerCodec.decode(bytes)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(Level.INFO, "event=peer-link-broken cause=\"" + cause.getMessage() + "\"");
            context.close();
        }
    }
}
