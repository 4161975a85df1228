package org.hibiscususher.core.membership;

import java.util.List;
import org.hibiscususher.core.message.Input.PeerMessageReceived;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** The rules of the messages between entries: heartbeats, silence, and which messages count. */
public final class PeerMessages {
    /**
     * Heartbeat interval for each other member, in milliseconds. It bounds the heartbeats that an
     * entry sends to 62 a second, however many members there are.
     */
    private static final int HEARTBEAT_MS_PER_MEMBER = 16;

    /** Heartbeat intervals without a message after which a member may count as silent. */
    private static final int HEARTBEATS_PER_SILENCE = 3;

    private PeerMessages() {}

    /** Returns the longest time between two messages to a peer, in milliseconds. */
    public static long heartbeatMs(World world) {
        int configuredMs = world.settings().heartbeatMs();
        return Math.max(configuredMs, HEARTBEAT_MS_PER_MEMBER * (long) world.members().size());
    }

    /** Returns how long a member may go unheard before it counts as silent, in milliseconds. */
    static long silenceMs(World world) {
        ControlSettings settings = world.settings();
        return Math.max(settings.silenceMs(), HEARTBEATS_PER_SILENCE * heartbeatMs(world));
    }

    /**
     * Returns whether a message was sent by the incarnation that the membership record shows, to
     * this incarnation.
     *
     * <p>A delayed message of an ended process, or to an earlier process with this id, would
     * otherwise be applied to tables that it does not refer to.
     */
    public static boolean isCurrent(World world, PeerMessage message) {
        return message.toIncarnation() == world.node().identity().incarnation()
                && world.members()
                        .find(message.from())
                        .filter(m -> m.member().incarnation() == message.incarnation())
                        .isPresent();
    }

    /** Returns the messages of this tick that are between current incarnations, in order. */
    public static List<PeerMessage> accepted(Tick tick) {
        return tick.inputs(PeerMessageReceived.class).stream()
                .map(PeerMessageReceived::message)
                .filter(m -> isCurrent(tick.world(), m))
                .toList();
    }

    /** Returns whether a message of a member has arrived within the silence limit. */
    static boolean isHeard(World world, MemberRow member, long nowMs) {
        return member.lastHeardMs() >= 0 && nowMs - member.lastHeardMs() < silenceMs(world);
    }
}
