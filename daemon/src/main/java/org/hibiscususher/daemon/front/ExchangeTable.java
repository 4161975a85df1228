package org.hibiscususher.daemon.front;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output.RefuseRequest;
import org.hibiscususher.core.message.Output.StartAttempt;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.daemon.control.Inbox;

/** The requests at hand on the traffic side, by id, within bounds. Thread-safe. */
public final class ExchangeTable {
    private static final int MAX_EXCHANGES = 16_384;
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

    private final Map<Long, Exchange> mExchanges = new ConcurrentHashMap<>();
    private final Map<EventLoop, TargetConnectionPool> mConnections = new ConcurrentHashMap<>();
    private final AtomicLong mIds = new AtomicLong();
    private final AtomicInteger mCount = new AtomicInteger();
    private final AtomicInteger mWriting = new AtomicInteger();
    private final AtomicLong mBytes = new AtomicLong();
    private final AtomicInteger mLongestRunLimitMs = new AtomicInteger();
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
     * @param inbox takes what happens to requests
     * @param metrics counts refusals that need no decision of the control thread
     */
    public static ExchangeTable create(Inbox<Input> inbox, MetricRegistry metrics) {
        return create(inbox, metrics, PooledByteBufAllocator.DEFAULT);
    }

    static ExchangeTable create(
            Inbox<Input> inbox, MetricRegistry metrics, ByteBufAllocator allocator) {
        return new ExchangeTable(inbox, metrics, allocator);
    }

    /** Sends a request to a target. */
    public void start(StartAttempt start) {
        mLongestRunLimitMs.accumulateAndGet(start.longestRunMs(), Math::max);
        Exchange exchange = mExchanges.get(start.requestId());
        if (exchange == null) {
            cancelled(start);
        } else {
            exchange.start(start);
        }
    }

    /** Ends a request without an answer from a target. */
    public void refuse(RefuseRequest refuse) {
        Exchange exchange = mExchanges.get(refuse.requestId());
        if (exchange != null) {
            exchange.refuse(refuse.refusal());
        }
    }

    /** Tells callers from now on to send their next requests elsewhere. */
    public void setLeaving() {
        mLeaving = true;
    }

    /** Returns the longest run limit of any attempt so far, in milliseconds. */
    public int longestRunLimitMs() {
        return mLongestRunLimitMs.get();
    }

    /** Returns how many requests are at hand or have an answer that is not wholly written. */
    public int size() {
        return mCount.get() + mWriting.get();
    }

    /** Counts an answer as not wholly written until its last write is done. */
    void track(ChannelFuture lastWrite) {
        mWriting.incrementAndGet();
        lastWrite.addListener((ChannelFuture done) -> mWriting.decrementAndGet());
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

    /** Returns the connections to targets of an event loop; for use on that loop alone. */
    TargetConnectionPool connections(EventLoop loop) {
        return mConnections.computeIfAbsent(loop, l -> new TargetConnectionPool(l, mAllocator));
    }

    long nextId() {
        return mIds.incrementAndGet();
    }

    /** Adds an exchange unless the bounds are reached; returns whether it was added. */
    boolean add(Exchange exchange) {
        int count = mCount.incrementAndGet();
        long bytes = mBytes.addAndGet(exchange.bytes());
        mExchanges.put(exchange.id(), exchange);
        boolean fits = count <= MAX_EXCHANGES && bytes <= MAX_BODY_BYTES;
        if (!fits) {
            remove(exchange);
        }
        return fits;
    }

    void remove(Exchange exchange) {
        if (mExchanges.remove(exchange.id(), exchange)) {
            mCount.decrementAndGet();
            mBytes.addAndGet(-exchange.bytes());
        }
    }

    /** Reports that an attempt never began because its caller had gone. */
    void cancelled(StartAttempt start) {
        mInbox.add(Exchange.neverBegun(start));
    }

    /** Counts a refusal that the traffic side has made. */
    void countRefusal(Refusal refusal) {
        mMetrics.counter("refusal." + refusal.code()).inc();
    }
}
