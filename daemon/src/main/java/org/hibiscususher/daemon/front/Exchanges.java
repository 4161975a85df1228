package org.hibiscususher.daemon.front;

import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.hibiscususher.core.message.Output.Refuse;
import org.hibiscususher.core.message.Output.StartAttempt;
import org.hibiscususher.daemon.control.Inbox;

/** The requests at hand on the traffic side, by id. Thread-safe. */
public final class Exchanges {
    private static final int MAX_EXCHANGES = 16_384;

    private final Map<Long, Exchange> mExchanges = new ConcurrentHashMap<>();
    private final AtomicLong mIds = new AtomicLong();
    private final EventLoopGroup mGroup;
    private final Inbox mInbox;

    private Exchanges(EventLoopGroup group, Inbox inbox) {
        mGroup = group;
        mInbox = inbox;
    }

    /** Creates an empty table of exchanges. */
    public static Exchanges create(EventLoopGroup group, Inbox inbox) {
        return new Exchanges(group, inbox);
    }

    /** Sends a request to a target. */
    public void start(StartAttempt start) {
        Exchange exchange = mExchanges.get(start.requestId());
        if (exchange != null) {
            exchange.start(start);
        }
    }

    /** Ends a request without an answer from a target. */
    public void refuse(Refuse refuse) {
        Exchange exchange = mExchanges.get(refuse.requestId());
        if (exchange != null) {
            exchange.refuse(refuse.refusal());
        }
    }

    EventLoopGroup group() {
        return mGroup;
    }

    Inbox inbox() {
        return mInbox;
    }

    long nextId() {
        return mIds.incrementAndGet();
    }

    boolean add(Exchange exchange) {
        if (mExchanges.size() >= MAX_EXCHANGES) {
            return false;
        }
        mExchanges.put(exchange.id(), exchange);
        return true;
    }

    void remove(Exchange exchange) {
        mExchanges.remove(exchange.id(), exchange);
    }
}
