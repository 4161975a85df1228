package org.hibiscususher.core.membership;

import java.util.List;
import org.hibiscususher.core.message.Input.PeerMessageReceived;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** What holds for the links between entries. */
public final class PeerMessages {
    /**
     * Time between two heartbeats for each other member, in milliseconds; bounds the heartbeats of
     * an entry to 62 a second.
     */
    private static final int HEARTBEAT_MS_PER_MEMBER = 16;

    /** Heartbeats that may be missing before a member counts as silent. */
    private static final int HEARTBEATS_PER_SILENCE = 3;

    private PeerMessages() {}

    /** Returns the longest time between two messages to a peer, in milliseconds. */
    public static long heartbeatMs(World world) {
        int least = world.settings().heartbeatMs();
        return Math.max(least, HEARTBEAT_MS_PER_MEMBER * (long) world.members().size());
    }

    /** Returns how long a member may go unheard before it counts as silent, in milliseconds. */
    static long silenceMs(World world) {
        ControlSettings settings = world.settings();
        return Math.max(settings.silenceMs(), HEARTBEATS_PER_SILENCE * heartbeatMs(world));
    }

    /**
     * Returns whether a message comes from the process that the membership record shows, and was
     * meant for this process and not for an earlier one at the same place.
     */
    public static boolean isCurrent(World world, PeerMessage message) {
        return message.toIncarnation() == world.node().identity().incarnation()
                && world.members()
                        .find(message.from())
                        .filter(m -> m.member().incarnation() == message.incarnation())
                        .isPresent();
    }

    /** Returns the messages of this tick that are accepted, in order. */
    public static List<PeerMessage> accepted(Tick tick) {
        return tick.inputs(PeerMessageReceived.class).stream()
                .map(PeerMessageReceived::message)
                .filter(m -> isCurrent(tick.world(), m))
                .toList();
    }

    /** Returns whether a member has been heard within the silence limit. */
    static boolean isHeard(World world, MemberRow member, long nowMs) {
        return member.lastHeardMs() >= 0 && nowMs - member.lastHeardMs() < silenceMs(world);
    }
}
