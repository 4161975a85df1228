package org.hibiscususher.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Refusal;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that no connection ends while a request that was read from it has no complete answer. */
class FrontShutdownTest extends FrontFixture {
    @Nested
    class Leaving {
        @Test
        void answersRequestsPipelinedBeforeTheResponseThatClosesTheConnection() throws IOException {
            mCaller.send(GET + GET);
            RequestArrived first = mHarness.nextArrival();
            mHarness.exchanges().setLeaving();
            mHarness.refuse(first, Refusal.ENTRY_LEAVING);
            mHarness.refuse(mHarness.nextArrival(), Refusal.WAIT_LIMIT);
            assertThat(mCaller.readToClose())
                    .containsSubsequence("entry-leaving", "connection: close", "wait-limit");
        }
    }
}
