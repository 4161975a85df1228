package org.hibiscususher.core.world;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerFreshnessRowTest {
    private final PeerFreshnessRow mProbed = PeerFreshnessRow.NONE.withSent(4, 1_000);

    @Nested
    class Messages {
        @Test
        void countFromWhenTheSequenceThatTheyAcknowledgeWasSent() {
            PeerFreshnessRow heard = mProbed.withReceived(4, 2, 300);
            assertThat(heard.currentAsOfMs()).isEqualTo(700);
            assertThat(heard.acknowledgedSentMs()).isEqualTo(1_000);
        }

        @Test
        void thatMayBeOlderThanTheProbeProveNothing() {
            PeerFreshnessRow heard = mProbed.withReceived(3, 2, 0);
            assertThat(heard.currentAsOfMs()).isEqualTo(-1);
            assertThat(heard.acknowledgedSentMs()).isEqualTo(-1);
            assertThat(heard.knownRevision()).isEqualTo(2);
        }

        @Test
        void thatAreLateCountFromTheProbeThatTheyAcknowledge() {
            PeerFreshnessRow probedAgain = mProbed.withReceived(4, 2, -1).withSent(9, 5_000);
            PeerFreshnessRow late = probedAgain.withReceived(8, 2, 100);
            assertThat(late.currentAsOfMs()).isEqualTo(900);
            assertThat(late.acknowledgedSentMs()).isEqualTo(1_000);
        }

        @Test
        void thatVouchForNothingProveNothingOfFreshness() {
            assertThat(mProbed.withReceived(4, 2, -1).currentAsOfMs()).isEqualTo(-1);
        }
    }

    @Nested
    class Probes {
        @Test
        void stayUntilTheyAreAcknowledged() {
            assertThat(mProbed.withSent(5, 2_000).probeMs()).isEqualTo(1_000);
            assertThat(mProbed.withReceived(4, 0, -1).withSent(5, 2_000).probeMs())
                    .isEqualTo(2_000);
        }
    }
}
