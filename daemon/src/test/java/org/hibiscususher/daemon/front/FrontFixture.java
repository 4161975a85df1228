package org.hibiscususher.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Base of tests of the front end over real sockets, with a caller and a target under control. */
abstract class FrontFixture {
    static final String GET = "GET /lookups/seals?a=b HTTP/1.1\r\nHost: x\r\n\r\n";
    static final String POST =
            "POST /lookups/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    static final String NOT_RUN = "\"ran\":\"not-run\"}\n";

    FrontHarness mHarness;
    ScriptedTarget mTarget;
    CallerSocket mCaller;

    @BeforeEach
    void open() throws IOException {
        mHarness = new FrontHarness();
        mTarget = new ScriptedTarget();
        mCaller = new CallerSocket(mHarness.address());
    }

    /** Fails if an exchange, a buffer or an unexpected input is left over. */
    @AfterEach
    void closeAndCheckForLeaks() throws IOException {
        mCaller.close();
        mTarget.close();
        assertThat(mHarness.awaitIdle()).as("bytes in use: %s", mHarness.bytesInUse()).isTrue();
        mHarness.close();
        assertThat(mHarness.unreadInputs()).isZero();
    }

    /** Sends a request as the caller; returns the input that reports its arrival. */
    RequestArrived sendRequest(String request) throws IOException {
        mCaller.send(request);
        return mHarness.nextArrival();
    }

    /** Sends a request as the caller, starts it on the target, and reads it there. */
    RequestArrived startRequest(String request) throws IOException {
        RequestArrived arrival = sendRequest(request);
        mHarness.start(arrival, 1, mTarget);
        mTarget.accept().read(request.endsWith("body") ? 4 : 0);
        return arrival;
    }

    /** Makes the target send a large response on another thread, which is returned. */
    Thread sendInBackground(int size) {
        Thread sender =
                new Thread(
                        () -> {
                            try {
                                mTarget.send(
                                        "HTTP/1.1 200 OK\r\nContent-Length: "
                                                + size
                                                + "\r\n\r\n"
                                                + "x".repeat(size));
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        sender.start();
        return sender;
    }

    void assertOutcome(AttemptOutcome outcome) {
        assertThat(mHarness.nextAttemptEnded().outcome()).isEqualTo(outcome);
    }
}
