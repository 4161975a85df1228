package org.hibiscususher.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hibiscususher.wire.http.Addresses;

/**
 * An HTTP server with one event loop, on which the fakes of this module run.
 *
 * <p>Handlers get whole requests, with bodies of up to 16 MiB.
 */
public final class HttpServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final long CLOSE_TIMEOUT_MS = 1_000;

    private final EventLoopGroup mGroup;
    private final Channel mChannel;

    private HttpServer(EventLoopGroup group, Channel channel) {
        mGroup = group;
        mChannel = channel;
    }

    /**
     * Binds the address and starts to accept connections.
     *
     * @param address IP address and port; port 0 lets the system choose a free port
     * @param handlers creates the handler of each connection; all handlers run on one thread
     * @throws IOException if the address can't be bound
     */
    public static HttpServer listen(String address, Supplier<ChannelHandler> handlers)
            throws IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                                .addLast(handlers.get());
                                    }
                                })
                        .bind(Addresses.parse(address))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully();
            throw new IOException("can't listen on " + address, bound.cause());
        }
        return new HttpServer(group, bound.channel());
    }

    /** Returns the bound IP address and port, {@code ip:port}. */
    public String address() {
        InetSocketAddress address = (InetSocketAddress) mChannel.localAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void close() {
        mChannel.close().awaitUninterruptibly();
        mGroup.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }
}
