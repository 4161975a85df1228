package org.hibiscususher.daemon.front;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hibiscususher.wire.http.Addresses;

/** Makes and keeps the connections to targets of one event loop, to which it belongs. */
final class TargetConnectionPool {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_IDLE = 256;
    private static final int MAX_IDLE_PER_ADDRESS = 8;
    private static final long IDLE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(5);
    private static final long SWEEP_INTERVAL_MS = 1_000;

    private final EventLoop mLoop;
    private final Bootstrap mBootstrap;
    private final Map<String, Deque<TargetConnection>> mIdle = new HashMap<>();
    private int mIdleCount;
    private boolean mSweeping;

    TargetConnectionPool(EventLoop loop, ByteBufAllocator allocator) {
        mLoop = loop;
        mBootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, allocator)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    }

    /** Returns an idle connection to an address, or null if there is none. */
    TargetConnection takeIdle(String address) {
        Deque<TargetConnection> idle = mIdle.get(address);
        TargetConnection connection = idle == null ? null : idle.peekLast();
        if (connection != null) {
            removeIdle(connection);
        }
        return connection;
    }

    /** Makes a connection and hands it over, active or not, in a later task of the event loop. */
    void connect(String address, Consumer<TargetConnection> receiver) {
        TargetConnection connection = new TargetConnection(this, address);
        ChannelFuture connected =
                mBootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpClientCodec())
                                                .addLast(connection);
                                    }
                                })
                        .connect(Addresses.parse(address));
        connection.setChannel(connected.channel());
        connected.addListener((ChannelFuture done) -> receiver.accept(connection));
    }

    /** Keeps a connection for a later attempt, or closes it if there are enough. */
    void giveBack(TargetConnection connection) {
        Deque<TargetConnection> idle =
                mIdle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
        if (mIdleCount >= MAX_IDLE || idle.size() >= MAX_IDLE_PER_ADDRESS || !connection.active()) {
            connection.close();
            return;
        }
        connection.idle(System.nanoTime());
        idle.addLast(connection);
        mIdleCount++;
        if (!mSweeping) {
            mSweeping = true;
            scheduleSweep();
        }
    }

    /** Forgets a connection that was closed. */
    void closed(TargetConnection connection) {
        removeIdle(connection);
    }

    private void removeIdle(TargetConnection connection) {
        Deque<TargetConnection> idle = mIdle.get(connection.address());
        if (idle != null && idle.removeLastOccurrence(connection)) {
            mIdleCount--;
            if (idle.isEmpty()) {
                mIdle.remove(connection.address());
            }
        }
    }

    private void scheduleSweep() {
        mLoop.schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        long nowNs = System.nanoTime();
        mIdle.values().stream()
                .flatMap(Deque::stream)
                .filter(c -> nowNs - c.idleSinceNs() >= IDLE_TIMEOUT_NS)
                .toList()
                .forEach(TargetConnection::close);
        mSweeping = mIdleCount > 0;
        if (mSweeping) {
            scheduleSweep();
        }
    }
}
