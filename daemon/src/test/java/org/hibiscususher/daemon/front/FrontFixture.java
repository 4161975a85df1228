package org.hibiscususher.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A traffic side on real sockets, with a caller and a target that follow a script. */
abstract class FrontFixture {
    static final String GET = "GET /lookups/seals?a=b HTTP/1.1\r\nHost: x\r\n\r\n";
    static final String POST =
            "POST /lookups/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    static final String NOT_RUN = "\"ran\":\"not-run\"}\n";

    FrontHarness mRig;
    ScriptedTarget mTarget;
    CallerSocket mCaller;

    @BeforeEach
    void open() throws IOException {
        mRig = new FrontHarness();
        mTarget = new ScriptedTarget();
        mCaller = new CallerSocket(mRig.address());
    }

    @AfterEach
    void leavesNothingBehind() throws IOException {
        mCaller.close();
        mTarget.close();
        assertThat(mRig.becomesIdle()).as("bytes in use: %s", mRig.bytesInUse()).isTrue();
        mRig.close();
        assertThat(mRig.inputsLeft()).isZero();
    }

    RequestArrived sent(String request) throws IOException {
        mCaller.send(request);
        return mRig.arrival();
    }

    RequestArrived running(String request) throws IOException {
        RequestArrived arrival = sent(request);
        mRig.start(arrival, 1, mTarget);
        mTarget.accept().read(request.endsWith("body") ? 4 : 0);
        return arrival;
    }

    /** Lets the target send a large answer while the test goes on. */
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

    void assertEnded(AttemptOutcome outcome) {
        assertThat(mRig.ended().outcome()).isEqualTo(outcome);
    }
}
