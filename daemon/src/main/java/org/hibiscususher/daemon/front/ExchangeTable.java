package org.hibiscususher.daemon.front;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output.RefuseRequest;
import org.hibiscususher.core.message.Output.StartAttempt;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.daemon.control.Inbox;

/**
 * The open exchanges by id, bounded in number and in the total size of their request bodies, so
 * that a flood of requests can't exhaust the memory. Thread-safe.
 */
public final class ExchangeTable {
    private static final int MAX_EXCHANGES = 16_384;
    private static final int MAX_TOTAL_BODY_BYTES = 64 * 1024 * 1024;

    private final Map<Long, Exchange> mExchanges = new ConcurrentHashMap<>();
    private final Map<EventLoop, TargetConnectionPool> mConnectionPools = new ConcurrentHashMap<>();
    private final AtomicLong mLastId = new AtomicLong();
    private final AtomicInteger mOpen = new AtomicInteger();
    private final AtomicInteger mUnwrittenResponses = new AtomicInteger();
    private final AtomicLong mBodyBytes = new AtomicLong();
    private final AtomicLong mAttemptsEndNs = new AtomicLong(System.nanoTime());
    private final Inbox<Input> mInbox;
    private final MetricRegistry mMetrics;
    private final ByteBufAllocator mAllocator;
    private volatile boolean mLeaving;

    private ExchangeTable(Inbox<Input> inbox, MetricRegistry metrics, ByteBufAllocator allocator) {
        mInbox = inbox;
        mMetrics = metrics;
        mAllocator = allocator;
    }

    /**
     * Creates an empty table of exchanges.
     *
     * @param inbox receives the arrival of requests and the outcomes of attempts
     * @param metrics counts the refusals that are made without the control thread
     */
    public static ExchangeTable create(Inbox<Input> inbox, MetricRegistry metrics) {
        return create(inbox, metrics, PooledByteBufAllocator.DEFAULT);
    }

    static ExchangeTable create(
            Inbox<Input> inbox, MetricRegistry metrics, ByteBufAllocator allocator) {
        return new ExchangeTable(inbox, metrics, allocator);
    }

    /** Starts an attempt; reports it as cancelled if its exchange has ended. */
    public void start(StartAttempt start) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(start.longestRunMs());
        mAttemptsEndNs.accumulateAndGet(endNs, (a, b) -> a - b > 0 ? a : b);
        Exchange exchange = mExchanges.get(start.requestId());
        if (exchange == null) {
            reportCancelled(start);
        } else {
            exchange.start(start);
        }
    }

    /** Ends an exchange with a refusal; ignores an unknown request id. */
    public void refuse(RefuseRequest refuse) {
        Exchange exchange = mExchanges.get(refuse.requestId());
        if (exchange != null) {
            exchange.refuse(refuse.refusal());
        }
    }

    /** From now on, closes callers' connections after the current response. */
    public void setLeaving() {
        mLeaving = true;
    }

    /**
     * Returns when the last of the attempts so far has surely ended, in nanoseconds of {@link
     * System#nanoTime}.
     */
    public long attemptsEndNs() {
        return mAttemptsEndNs.get();
    }

    /**
     * Ends every open exchange: refuses it, or resets its connection if a response has started.
     *
     * <p>A request that was sent to a target is told that the outcome is unknown.
     */
    public void refuseAll() {
        mExchanges.values().forEach(Exchange::refuseForShutdown);
    }

    /** Returns the number of open exchanges and of responses not yet completely written. */
    public int size() {
        return mOpen.get() + mUnwrittenResponses.get();
    }

    /** Counts a response as not completely written until its last write is done. */
    void trackWrite(ChannelFuture lastWrite) {
        mUnwrittenResponses.incrementAndGet();
        FrontHandler.trackWrite(lastWrite);
        lastWrite.addListener((ChannelFuture done) -> mUnwrittenResponses.decrementAndGet());
    }

    boolean leaving() {
        return mLeaving;
    }

    Inbox<Input> inbox() {
        return mInbox;
    }

    ByteBufAllocator allocator() {
        return mAllocator;
    }

    /** Returns an event loop's connections to targets; to be used on that event loop only. */
    TargetConnectionPool connectionPool(EventLoop loop) {
        return mConnectionPools.computeIfAbsent(loop, l -> new TargetConnectionPool(l, mAllocator));
    }

    long nextId() {
        return mLastId.incrementAndGet();
    }

    /** Adds an exchange unless a bound is exceeded; returns whether it was added. */
    boolean add(Exchange exchange) {
        int open = mOpen.incrementAndGet();
        long bodyBytes = mBodyBytes.addAndGet(exchange.bodyBytes());
        mExchanges.put(exchange.id(), exchange);
        boolean fits = open <= MAX_EXCHANGES && bodyBytes <= MAX_TOTAL_BODY_BYTES;
        if (!fits) {
            remove(exchange);
        }
        return fits;
    }

    void remove(Exchange exchange) {
        if (mExchanges.remove(exchange.id(), exchange)) {
            mOpen.decrementAndGet();
            mBodyBytes.addAndGet(-exchange.bodyBytes());
        }
    }

    /** Reports that an attempt did not start because its caller had disconnected. */
    void reportCancelled(StartAttempt start) {
        mInbox.add(Exchange.cancelledBeforeStart(start));
    }

    /** Counts a refusal that was made without the control thread. */
    void countRefusal(Refusal refusal) {
        mMetrics.counter("refusal." + refusal.code()).inc();
    }
}
