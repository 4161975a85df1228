package org.hibiscususher.core.escrow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.hibiscususher.core.membership.Links;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.world.MemberKey;
import org.hibiscususher.core.world.NodeIdentity;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** The items that one tick receives and sends; those to this entry itself never leave it. */
final class MessageExchange {
    private final Tick mTick;
    private final MemberKey mSelf;
    private final Deque<ReceivedItem> mInbound = new ArrayDeque<>();

    private MessageExchange(Tick tick, MemberKey self) {
        mTick = tick;
        mSelf = self;
    }

    /** Creates the exchange of a tick with what members of the record have sent. */
    static MessageExchange of(Tick tick) {
        NodeIdentity identity = tick.world().node().identity();
        MessageExchange exchange =
                new MessageExchange(tick, new MemberKey(identity.id(), identity.incarnation()));
        for (PeerMessage message : Links.accepted(tick)) {
            MemberKey from = new MemberKey(message.from(), message.incarnation());
            for (PeerItem item : message.items()) {
                exchange.mInbound.add(new ReceivedItem(from, message.sequence(), item));
            }
        }
        return exchange;
    }

    /** Returns the tick. */
    Tick tick() {
        return mTick;
    }

    /** Returns the tables. */
    World world() {
        return mTick.world();
    }

    /** Returns the time in milliseconds. */
    long nowMs() {
        return mTick.nowMs();
    }

    /** Returns this process. */
    MemberKey self() {
        return mSelf;
    }

    /** Sends an item to a member, which may be this entry. */
    void send(MemberKey to, PeerItem item) {
        if (to.equals(mSelf)) {
            mInbound.add(new ReceivedItem(mSelf, nowMs(), item));
        } else {
            mTick.tell(to.id(), item);
        }
    }

    /** Returns the next item received, or empty. */
    Optional<ReceivedItem> poll() {
        return Optional.ofNullable(mInbound.poll());
    }
}
