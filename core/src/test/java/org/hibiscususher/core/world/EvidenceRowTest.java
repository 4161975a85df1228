package org.hibiscususher.core.world;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EvidenceRowTest {
    private final EvidenceRow mProbed = EvidenceRow.NONE.sent(4, 1_000);

    @Nested
    class Messages {
        @Test
        void countFromWhenTheSequenceThatTheyAcknowledgeWasSent() {
            EvidenceRow heard = mProbed.heard(4, 2, 300);
            assertThat(heard.freshMs()).isEqualTo(700);
            assertThat(heard.confirmedMs()).isEqualTo(1_000);
        }

        @Test
        void thatMayBeOlderThanTheProbeProveNothing() {
            EvidenceRow heard = mProbed.heard(3, 2, 0);
            assertThat(heard.freshMs()).isEqualTo(-1);
            assertThat(heard.confirmedMs()).isEqualTo(-1);
            assertThat(heard.knownRevision()).isEqualTo(2);
        }

        @Test
        void thatAreLateCountFromTheProbeThatTheyAcknowledge() {
            EvidenceRow probedAgain = mProbed.heard(4, 2, -1).sent(9, 5_000);
            EvidenceRow late = probedAgain.heard(8, 2, 100);
            assertThat(late.freshMs()).isEqualTo(900);
            assertThat(late.confirmedMs()).isEqualTo(1_000);
        }

        @Test
        void thatVouchForNothingProveNothingOfFreshness() {
            assertThat(mProbed.heard(4, 2, -1).freshMs()).isEqualTo(-1);
        }
    }

    @Nested
    class Probes {
        @Test
        void stayUntilTheyAreAcknowledged() {
            assertThat(mProbed.sent(5, 2_000).probeMs()).isEqualTo(1_000);
            assertThat(mProbed.heard(4, 0, -1).sent(5, 2_000).probeMs()).isEqualTo(2_000);
        }
    }
}
