package org.hibiscususher.core.membership;

import java.util.List;
import org.hibiscususher.core.message.Output.SendPeerMessage;
import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.rollout.Freshness;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.NodeRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Sends each member the items that this tick has for it in one message, or a heartbeat when due.
 *
 * <p>Runs last in a tick, so that the message has the items of every other system.
 */
public final class PeerMessageSystem {
    private PeerMessageSystem() {}

    /** Sends a message to every member for which there are items or a heartbeat is due. */
    public static void run(Tick tick) {
        World world = tick.world();
        long heartbeatMs = PeerMessages.heartbeatMs(world);
        long freshAgeMs = Freshness.ageMs(world, tick.nowMs());
        for (MemberRow member : world.members().rows()) {
            List<PeerItem> items = tick.itemsFor(member.member().id());
            boolean due = tick.nowMs() - member.lastSentMs() >= heartbeatMs;
            if (!items.isEmpty() || due || member.lastSentMs() < 0) {
                send(tick, member, items, freshAgeMs);
            }
        }
    }

    private static void send(Tick tick, MemberRow member, List<PeerItem> items, long freshAgeMs) {
        World world = tick.world();
        NodeRow node = world.node();
        String id = member.member().id();
        long storeAgeMs = node.storeContactMs() < 0 ? -1 : tick.nowMs() - node.storeContactMs();
        MemberRow sent = member.withSent(tick.nowMs());
        world.members().put(id, sent);
        world.peerFreshness().update(id, e -> e.withSent(sent.sentSequence(), tick.nowMs()));
        PeerMessage message =
                new PeerMessage(
                        node.identity().id(),
                        node.identity().incarnation(),
                        member.member().incarnation(),
                        sent.sentSequence(),
                        member.receivedSequence(),
                        world.membership().record().epoch(),
                        world.configuration().revision(),
                        storeAgeMs,
                        freshAgeMs,
                        world.freshness().knownRevision(),
                        items);
        tick.emit(new SendPeerMessage(id, member.member().address(), message));
    }
}
