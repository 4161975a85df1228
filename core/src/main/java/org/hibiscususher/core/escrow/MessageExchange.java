package org.hibiscususher.core.escrow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.hibiscususher.core.membership.PeerMessages;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.NodeIdentity;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * The items that the escrow receives and sends in one tick.
 *
 * <p>Items that this entry sends itself, as when it allocates a group of which it holds permits,
 * are added to the received ones and never leave the process.
 */
final class MessageExchange {
    private final Tick mTick;
    private final MemberKey mSelf;
    private final Deque<ReceivedItem> mInbound = new ArrayDeque<>();

    private MessageExchange(Tick tick, MemberKey self) {
        mTick = tick;
        mSelf = self;
    }

    /**
     * Creates the exchange of a tick with the items of the messages that are accepted, in order.
     */
    static MessageExchange of(Tick tick) {
        NodeIdentity identity = tick.world().node().identity();
        MessageExchange exchange =
                new MessageExchange(tick, new MemberKey(identity.id(), identity.incarnation()));
        for (PeerMessage message : PeerMessages.accepted(tick)) {
            MemberKey from = new MemberKey(message.from(), message.incarnation());
            for (PeerItem item : message.items()) {
                exchange.mInbound.add(new ReceivedItem(from, message.sequence(), item));
            }
        }
        return exchange;
    }

    /** Returns the tick whose items are exchanged. */
    Tick tick() {
        return mTick;
    }

    /** Returns the tables of this entry. */
    World world() {
        return mTick.world();
    }

    /** Returns the time of the tick in milliseconds of the caller's clock. */
    long nowMs() {
        return mTick.nowMs();
    }

    /** Returns the key of this process as a member. */
    MemberKey self() {
        return mSelf;
    }

    /**
     * Sends an item to a member, which may be this entry.
     *
     * <p>The time of the tick serves as the sequence number of items to this entry itself.
     */
    void send(MemberKey to, PeerItem item) {
        if (to.equals(mSelf)) {
            mInbound.add(new ReceivedItem(mSelf, nowMs(), item));
        } else {
            mTick.send(to.id(), item);
        }
    }

    /** Removes and returns the next item received, or returns empty if there is none. */
    Optional<ReceivedItem> poll() {
        return Optional.ofNullable(mInbound.poll());
    }
}
