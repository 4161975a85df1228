package org.hibiscususher.daemon.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import org.hibiscususher.wire.http.Addresses;

/** Listens for callers. */
public final class FrontServer {
    private static final int MAX_REQUEST_BYTES = 1024 * 1024;

    private final Channel mChannel;

    private FrontServer(Channel channel) {
        mChannel = channel;
    }

    /**
     * Starts to listen.
     *
     * @param group event loops; the owner closes them
     * @param address IP number and port
     * @param exchanges takes the requests
     * @throws IOException if the address can't be bound
     */
    public static FrontServer listen(EventLoopGroup group, String address, Exchanges exchanges)
            throws IOException {
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
                                                .addLast(
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                                .addLast(new FrontHandler(exchanges));
                                    }
                                })
                        .bind(Addresses.parse(address))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen for callers on " + address, bound.cause());
        }
        return new FrontServer(bound.channel());
    }

    /** Takes no more connections; those that are open go on. */
    public void stopAccepting() {
        mChannel.close();
    }
}
