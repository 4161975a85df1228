package org.hibiscususher.daemon.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.wire.http.Addresses;

/** HTTP server for callers. */
public final class FrontServer {
    private static final int MAX_REQUEST_BYTES = 1024 * 1024;
    private static final int MAX_CONNECTIONS = 4_096;
    private static final int IDLE_TIMEOUT_S = 60;

    /** Time in which the connections established so far are accepted, in milliseconds. */
    private static final long LAST_ACCEPT_MS = 10;

    private final EventLoopGroup mGroup;
    private final Channel mChannel;
    private final ChannelGroup mCallers;

    private FrontServer(EventLoopGroup group, Channel channel, ChannelGroup callers) {
        mGroup = group;
        mChannel = channel;
        mCallers = callers;
    }

    /**
     * Binds the server to an address.
     *
     * @param group event loops of the server's connections; the caller closes them
     * @param address IP number and port to listen on; port 0 selects a free port
     * @param exchanges receives the requests
     * @throws IOException if the address can't be bound
     */
    public static FrontServer listen(EventLoopGroup group, String address, ExchangeTable exchanges)
            throws IOException {
        ChannelGroup callers = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new ServerChannelRecvByteBufAllocator()
                                        .maxMessagesPerRead(MAX_CONNECTIONS))
                        .childOption(ChannelOption.ALLOCATOR, exchanges.allocator())
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        if (callers.size() < MAX_CONNECTIONS) {
                                            callers.add(channel);
                                            addHandlers(channel, exchanges);
                                        } else {
                                            channel.close();
                                        }
                                    }
                                })
                        .bind(Addresses.parse(address))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen for callers on " + address, bound.cause());
        }
        return new FrontServer(group, bound.channel(), callers);
    }

    private static void addHandlers(Channel channel, ExchangeTable exchanges) {
        PartialRequestTracker tracker = new PartialRequestTracker();
        channel.pipeline()
                .addLast(new LingeringClose())
                .addLast(tracker)
                .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_S))
                .addLast(new HttpServerCodec())
                .addLast(new HttpServerKeepAliveHandler())
                .addLast(new RequestAggregator(MAX_REQUEST_BYTES, exchanges))
                .addLast(new FrontHandler(exchanges, tracker));
    }

    /** Returns the IP number and port on which the server listens. */
    public String address() {
        InetSocketAddress address = (InetSocketAddress) mChannel.localAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Stops accepting connections; open connections continue.
     *
     * <p>First accepts those that the operating system has established already, which it would
     * otherwise reset together with the requests that they carry. Returns once all are open.
     */
    public void stopAccepting() throws InterruptedException {
        mChannel.eventLoop()
                .schedule(this::closeAfterAccepting, LAST_ACCEPT_MS, TimeUnit.MILLISECONDS)
                .sync();
        mChannel.closeFuture().sync();
        // An accepted connection is opened by a task that is queued before its listener closes.
        for (EventExecutor loop : mGroup) {
            loop.submit(() -> {}).sync();
        }
    }

    /**
     * Closes the listener after its event loop has looked for connections once more. A task that is
     * overdue runs without that, and the loop may have had no processor since the last time.
     */
    private void closeAfterAccepting() {
        mChannel.eventLoop().schedule(() -> mChannel.close(), 1, TimeUnit.MILLISECONDS);
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return mCallers.size();
    }

    /**
     * Closes the connections that are idle at two calls in a row: every byte that was read has its
     * complete response. To be called some milliseconds apart until no connection is left.
     */
    public void closeIdleConnections() {
        mCallers.forEach(FrontHandler::closeIfIdle);
    }

    /** Resets the connections whose response is not completely written. */
    public void resetIncompleteResponses() {
        mCallers.forEach(FrontHandler::resetIfWriting);
    }
}
