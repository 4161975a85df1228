package org.hibiscususher.daemon.front;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Input.AttemptEnded;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Output.RefuseRequest;
import org.hibiscususher.core.message.Output.StartAttempt;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.daemon.control.Inbox;

/** The real front end over sockets, with the test in place of the control thread. */
final class FrontHarness implements AutoCloseable {
    static final int LONG_RUN_MS = 60_000;
    private static final long WAIT_NS = TimeUnit.SECONDS.toNanos(10);
    private static final long DRAIN_NS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long POLL_NS = TimeUnit.MILLISECONDS.toNanos(5);

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final UnpooledByteBufAllocator mAllocator = new UnpooledByteBufAllocator(true);
    private final Inbox<Input> mInbox = new Inbox<>();
    private final Deque<Input> mInputs = new ArrayDeque<>();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final ExchangeTable mExchanges = ExchangeTable.create(mInbox, mMetrics, mAllocator);
    private final FrontServer mServer;

    FrontHarness() throws IOException {
        mServer = FrontServer.listen(mGroup, "127.0.0.1:0", mExchanges);
    }

    String address() {
        return mServer.address();
    }

    ExchangeTable exchanges() {
        return mExchanges;
    }

    long countRefusals(Refusal refusal) {
        return mMetrics.counter("refusal." + refusal.code()).getCount();
    }

    /** Waits for the next input, which must be of a given type, and returns it. */
    <T extends Input> T next(Class<T> type) {
        long deadline = System.nanoTime() + WAIT_NS;
        while (mInputs.isEmpty() && System.nanoTime() < deadline) {
            mInbox.await(POLL_NS);
            mInputs.addAll(mInbox.drain());
        }
        return type.cast(mInputs.remove());
    }

    /** Waits for the next input, which must be the arrival of a request. */
    RequestArrived nextArrival() {
        return next(RequestArrived.class);
    }

    /** Waits for the next input, which must be the end of an attempt. */
    AttemptEnded nextAttemptEnded() {
        return next(AttemptEnded.class);
    }

    void start(RequestArrived arrival, int attempt, ScriptedTarget target) {
        start(arrival, attempt, target.address(), LONG_RUN_MS);
    }

    void start(RequestArrived arrival, int attempt, String address, int runLimitMs) {
        mExchanges.start(
                new StartAttempt(
                        arrival.requestId(),
                        attempt,
                        "host-1",
                        address,
                        runLimitMs,
                        QueueSpec.longestRunMs(runLimitMs)));
    }

    void refuse(RequestArrived arrival, Refusal refusal) {
        mExchanges.refuse(new RefuseRequest(arrival.requestId(), refusal));
    }

    void stopAccepting() throws InterruptedException {
        mServer.stopAccepting();
    }

    /**
     * Keeps all event loops busy until the latch is released; returns once they are. Requests that
     * arrive meanwhile are read afterwards.
     */
    void blockEventLoops(CountDownLatch released) throws InterruptedException {
        for (EventExecutor loop : mGroup) {
            CountDownLatch blocked = new CountDownLatch(1);
            loop.execute(
                    () -> {
                        blocked.countDown();
                        awaitUninterruptibly(released);
                    });
            blocked.await();
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes idle connections for some time; returns whether none is left. */
    boolean drain() {
        long deadline = System.nanoTime() + DRAIN_NS;
        while (mServer.connectionCount() > 0 && System.nanoTime() < deadline) {
            mServer.closeIdleConnections();
            LockSupport.parkNanos(POLL_NS);
        }
        return mServer.connectionCount() == 0;
    }

    /** Returns the size of the allocated buffers that have not been released, in bytes. */
    long bytesInUse() {
        return mAllocator.metric().usedDirectMemory() + mAllocator.metric().usedHeapMemory();
    }

    /** Waits until no exchange is open and no buffer in use; returns false if the time runs out. */
    boolean awaitIdle() {
        long deadline = System.nanoTime() + WAIT_NS;
        while (mExchanges.size() > 0 || bytesInUse() > 0) {
            if (System.nanoTime() > deadline) {
                return false;
            }
            mInbox.await(POLL_NS);
        }
        mInputs.addAll(mInbox.drain());
        return true;
    }

    /** Waits until so many bytes of buffers are in use; returns false if the time runs out. */
    boolean awaitBytesInUse(long bytes) {
        long deadline = System.nanoTime() + WAIT_NS;
        while (bytesInUse() < bytes && System.nanoTime() < deadline) {
            mInbox.await(POLL_NS);
        }
        return bytesInUse() >= bytes;
    }

    /** Returns how many inputs have arrived that the test has not read. */
    int unreadInputs() {
        mInputs.addAll(mInbox.drain());
        return mInputs.size();
    }

    @Override
    public void close() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
