package org.hibiscususher.core.world;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerFreshnessRowTest {
    /** The row after sequence 4 was sent at 1,000 ms. */
    private final PeerFreshnessRow mProbed = PeerFreshnessRow.NONE.withSent(4, 1_000);

    @Nested
    class ReceivedMessage {
        @Test
        void provesFreshnessAsOfSendTimeOfAcknowledgedSequence() {
            PeerFreshnessRow row = mProbed.withReceived(4, 2, 300);
            assertThat(row.currentAsOfMs()).isEqualTo(700);
            assertThat(row.acknowledgedSentMs()).isEqualTo(1_000);
        }

        @Test
        void provesNothingIfItMayBeOlderThanProbe() {
            PeerFreshnessRow row = mProbed.withReceived(3, 2, 0);
            assertThat(row.currentAsOfMs()).isEqualTo(-1);
            assertThat(row.acknowledgedSentMs()).isEqualTo(-1);
            assertThat(row.knownRevision()).isEqualTo(2);
        }

        @Test
        void provesFreshnessAsOfEarlierProbeIfDelayed() {
            PeerFreshnessRow probedAgain = mProbed.withReceived(4, 2, -1).withSent(9, 5_000);
            PeerFreshnessRow delayed = probedAgain.withReceived(8, 2, 100);
            assertThat(delayed.currentAsOfMs()).isEqualTo(900);
            assertThat(delayed.acknowledgedSentMs()).isEqualTo(1_000);
        }

        @Test
        void provesNothingIfSenderHasNoProof() {
            assertThat(mProbed.withReceived(4, 2, -1).currentAsOfMs()).isEqualTo(-1);
        }
    }

    @Nested
    class Probe {
        @Test
        void isNotReplacedUntilAcknowledged() {
            assertThat(mProbed.withSent(5, 2_000).probeMs()).isEqualTo(1_000);
            assertThat(mProbed.withReceived(4, 0, -1).withSent(5, 2_000).probeMs())
                    .isEqualTo(2_000);
        }
    }
}
