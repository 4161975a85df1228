package org.hibiscususher.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.daemon.control.Inbox;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A client between an entry and owners that a test scripts. */
class ForwardClientTest {
    private static final int WAIT_STEP_MS = 10;

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PendingCalls mCalls = new PendingCalls();
    private final Inbox<SchedulerInput> mInbox = new Inbox<>();
    private final ForwardClient mClient = ForwardClient.create(mLoops, mCalls, mInbox);
    private ScriptedEntry mOwner;

    @BeforeEach
    void setUp() throws IOException {
        mOwner = ScriptedEntry.start();
    }

    @AfterEach
    void tearDown() throws IOException {
        mOwner.close();
        mLoops.shutdownGracefully();
    }

    /** Returns an address on which nobody listens. */
    private static String closedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    /** Returns the inputs that arrive within a time. */
    private List<SchedulerInput> inputsWithin(long timeoutMs) throws InterruptedException {
        List<SchedulerInput> inputs = new ArrayList<>();
        for (long t = 0; t < timeoutMs; t += WAIT_STEP_MS) {
            Thread.sleep(WAIT_STEP_MS);
            inputs.addAll(mInbox.drain());
        }
        return inputs;
    }

    @Nested
    class CallsOfTheEntryItself {
        @Test
        void areNotPendingWhenTheOtherEntryIsDown() throws Exception {
            String address = closedAddress();
            mClient.offerHandover(address, 3);
            mClient.requestRelinquish(address, 4);
            inputsWithin(1_000);
            assertThat(mCalls.size()).isZero();
        }

        @Test
        void areNotPendingWhenTheOtherEntryIsSilent() throws Exception {
            mClient.offerHandover(mOwner.address(), 3);
            mOwner.receive();
            inputsWithin(2_000);
            assertThat(mCalls.size()).isZero();
        }

        @Test
        void areNotPendingBeforeTheirAnswer() throws Exception {
            mClient.requestRelinquish(mOwner.address(), 4);
            mOwner.receive();
            assertThat(mCalls.size()).isZero();
        }
    }
}
