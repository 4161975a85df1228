package org.hibiscususher.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.NodeIdentity;
import org.hibiscususher.core.world.World;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerMessagesTest {
    private final World mWorld =
            World.create(new NodeIdentity("e1", 10, "e1:1", "z"), ControlSettings.DEFAULT, 0);

    @BeforeEach
    void addPeer() {
        Member peer = new Member("e2", 20, "e2:1", "z", MemberState.ACTIVE);
        mWorld.members().put("e2", MemberRow.of(peer));
    }

    private boolean isCurrent(String from, long incarnation, long toIncarnation) {
        return PeerMessages.isCurrent(
                mWorld,
                new PeerMessage(
                        from, incarnation, toIncarnation, 1, 0, 1, 0, -1, -1, 0, List.of()));
    }

    @Nested
    class CurrentMessages {
        @Test
        void comeFromTheIncarnationInTheRecord() {
            assertThat(isCurrent("e2", 20, 10)).isTrue();
            assertThat(isCurrent("e2", 19, 10)).isFalse();
            assertThat(isCurrent("e2", 21, 10)).isFalse();
            assertThat(isCurrent("e3", 20, 10)).isFalse();
        }

        @Test
        void areAddressedToThisIncarnation() {
            assertThat(isCurrent("e2", 20, 9)).isFalse();
        }
    }

    @Nested
    class HeartbeatInterval {
        @Test
        void growsWithTheNumberOfMembers() {
            assertThat(PeerMessages.heartbeatMs(mWorld)).isEqualTo(200);
            for (int i = 3; i <= 64; i++) {
                Member peer = new Member("e" + i, 20, "e:1", "z", MemberState.ACTIVE);
                mWorld.members().put("e" + i, MemberRow.of(peer));
            }
            assertThat(PeerMessages.heartbeatMs(mWorld)).isEqualTo(63 * 16);
            assertThat(PeerMessages.silenceMs(mWorld)).isEqualTo(3 * 63 * 16);
        }
    }
}
