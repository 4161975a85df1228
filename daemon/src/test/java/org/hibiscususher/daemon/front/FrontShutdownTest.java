package org.hibiscususher.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.hibiscususher.core.message.AttemptOutcome;
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

    @Nested
    class Closing {
        @Test
        void leavesRefusalReadableWhileTheCallerStillSends() throws IOException {
            int size = 16 * 1024 * 1024;
            mCaller.send("POST /lookups/x HTTP/1.1\r\nContent-Length: " + size + "\r\n\r\n");
            mCaller.send("b".repeat(size));
            assertThat(mCaller.readToClose()).startsWith("HTTP/1.1 413").endsWith(NOT_RUN);
        }

        @Test
        void startsNoRequestThatIsReadAfterCloseWasAnnounced() throws IOException {
            startRequest(GET);
            mHarness.exchanges().setLeaving();
            mTarget.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
            assertThat(mCaller.readTo("\r\n\r\n")).contains("connection: close");
            mCaller.send(POST.repeat(5));
            mTarget.send("ok");
            assertThat(mCaller.readToClose()).isEqualTo("ok");
            assertOutcome(AttemptOutcome.ANSWERED);
        }
    }
}
