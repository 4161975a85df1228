package org.hibiscususher.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ShutdownRequested;
import org.hibiscususher.daemon.control.Inbox;
import org.hibiscususher.wire.scheduler.ForwardCodec;
import org.hibiscususher.wire.scheduler.ForwardMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The server of an entry, and another entry that forwards requests to it. */
class ForwardServerTest {
    private static final long ARRIVED_MS = 42;
    private static final int READ_TIMEOUT_MS = 500;
    private static final int MAX_DROPPABLE_INPUTS = 1 << 16;
    private static final int MAX_PENDING = 20_000;
    private static final byte[] MALFORMED = {(byte) 0xff, (byte) 0xff, (byte) 0xff};
    private static final JobRequest REQUEST =
            JobRequest.of(JobRequestKind.QUERY, "h", "/q/1", "", Optional.empty());

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PendingCalls mCalls = new PendingCalls();
    private final Inbox<SchedulerInput> mInbox = new Inbox<>();
    private Socket mOther;

    @BeforeEach
    void setUp() throws IOException {
        int port = freePort();
        ForwardServer.listen(mLoops, "127.0.0.1:" + port, mCalls, mInbox, () -> ARRIVED_MS);
        mOther = new Socket(InetAddress.getLoopbackAddress(), port);
        mOther.setSoTimeout(READ_TIMEOUT_MS);
    }

    @AfterEach
    void tearDown() throws IOException {
        mOther.close();
        mLoops.shutdownGracefully();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private void sendRequest(long callId) throws IOException {
        sendFrame(ForwardCodec.encode(ForwardMessage.of(callId, REQUEST)));
    }

    private void sendFrame(byte[] frame) throws IOException {
        DataOutputStream out = new DataOutputStream(mOther.getOutputStream());
        out.writeInt(frame.length);
        out.write(frame);
        out.flush();
    }

    private ForwardMessage receive() throws IOException {
        DataInputStream in = new DataInputStream(mOther.getInputStream());
        byte[] frame = new byte[in.readInt()];
        in.readFully(frame);
        return ForwardCodec.decode(frame);
    }

    private List<SchedulerInput> nextInputs() {
        List<SchedulerInput> inputs = List.of();
        while (inputs.isEmpty()) {
            mInbox.await(1_000_000);
            inputs = mInbox.drain();
        }
        return inputs;
    }

    @Nested
    class Overload {
        private void assertRejectedOnce() throws IOException {
            sendRequest(7);
            ForwardMessage message = receive();
            assertThat(message.callId()).isEqualTo(7);
            assertThat(message.response().map(JobResponse::kind))
                    .contains(JobResponseKind.OVERLOADED);
            assertThatThrownBy(ForwardServerTest.this::receive)
                    .isInstanceOf(SocketTimeoutException.class);
        }

        @Test
        void ofTheInboxRejectsARequestOnce() throws IOException {
            for (int i = 0; i < MAX_DROPPABLE_INPUTS; i++) {
                mInbox.add(new ShutdownRequested());
            }
            assertRejectedOnce();
            assertThat(mCalls.size()).isZero();
        }

        @Test
        void ofThePendingRequestsRejectsARequestOnce() throws IOException {
            for (int i = 0; i < MAX_PENDING; i++) {
                mCalls.register(response -> {});
            }
            assertRejectedOnce();
            assertThat(mCalls.size()).isEqualTo(MAX_PENDING);
        }
    }

    @Nested
    class ArrivedRequest {
        /** Guards against a queue age that leaves out the time in the inbox. */
        @Test
        void hasTheTimeAtWhichItWasRead() throws IOException {
            sendRequest(7);
            RequestReceived received = (RequestReceived) nextInputs().get(0);
            assertThat(received.arrivedMs()).isEqualTo(ARRIVED_MS);
        }
    }

    @Nested
    class MalformedMessage {
        @Test
        void doesNotCutTheOtherRequestsOnItsConnection() throws IOException {
            sendRequest(7);
            RequestReceived received = (RequestReceived) nextInputs().get(0);
            sendFrame(MALFORMED);
            sendRequest(8);
            assertThat(nextInputs()).hasSize(1);
            mCalls.complete(received.callId(), JobResponse.of(JobResponseKind.ACCEPTED));
            assertThat(receive().callId()).isEqualTo(7);
        }
    }

    @Nested
    class ClosedConnection {
        @Test
        void leavesNoRequestPendingOnceItIsAnswered() throws IOException {
            sendRequest(7);
            RequestReceived received = (RequestReceived) nextInputs().get(0);
            mOther.close();
            mCalls.complete(received.callId(), JobResponse.of(JobResponseKind.ACCEPTED));
            assertThat(mCalls.size()).isZero();
        }
    }
}
