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

/** Pool of one event loop's connections to targets. Confined to that event loop. */
final class TargetConnectionPool {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_IDLE_CONNECTIONS = 256;
    private static final int MAX_IDLE_PER_ADDRESS = 8;
    private static final long IDLE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(5);
    private static final long SWEEP_INTERVAL_MS = 1_000;

    private final EventLoop mLoop;
    private final Bootstrap mBootstrap;
    private final Map<String, Deque<TargetConnection>> mIdle = new HashMap<>();
    private int mIdleCount;
    private boolean mSweepScheduled;

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

    /**
     * Removes and returns an idle connection to an address, or returns null if there is none.
     *
     * <p>Returns the one used last, which the target is least likely to have closed for being idle.
     */
    TargetConnection pollIdle(String address) {
        Deque<TargetConnection> idle = mIdle.get(address);
        TargetConnection connection = idle == null ? null : idle.peekLast();
        if (connection != null) {
            removeIdle(connection);
        }
        return connection;
    }

    /**
     * Opens a connection.
     *
     * @param address IP number and port of the target
     * @param receiver called in a later task of the event loop with the connection, which is not
     *     active if it could not be established
     */
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

    /** Keeps a connection for reuse, or closes it if the pool is full or it is not active. */
    void release(TargetConnection connection) {
        Deque<TargetConnection> idle =
                mIdle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
        if (mIdleCount >= MAX_IDLE_CONNECTIONS
                || idle.size() >= MAX_IDLE_PER_ADDRESS
                || !connection.isActive()) {
            connection.close();
            return;
        }
        connection.markIdle(System.nanoTime());
        idle.addLast(connection);
        mIdleCount++;
        if (!mSweepScheduled) {
            mSweepScheduled = true;
            scheduleSweep();
        }
    }

    /** Removes a closed connection. */
    void onClosed(TargetConnection connection) {
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

    /** Closes the connections that have been idle for too long. */
    private void sweep() {
        long nowNs = System.nanoTime();
        mIdle.values().stream()
                .flatMap(Deque::stream)
                .filter(c -> nowNs - c.idleSinceNs() >= IDLE_TIMEOUT_NS)
                .toList()
                .forEach(TargetConnection::close);
        mSweepScheduled = mIdleCount > 0;
        if (mSweepScheduled) {
            scheduleSweep();
        }
    }
}
