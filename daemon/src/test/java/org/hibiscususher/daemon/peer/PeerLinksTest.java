package org.hibiscususher.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Input.PeerConnectionRefused;
import org.hibiscususher.core.message.Input.PeerMessageReceived;
import org.hibiscususher.core.message.Output.SendPeerMessage;
import org.hibiscususher.core.message.PeerMessage;
import org.hibiscususher.daemon.control.Inbox;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerLinksTest {
    private static final int WAIT_MS = 10_000;
    private static final long WAIT_NS = TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
    private static final long POLL_NS = TimeUnit.MILLISECONDS.toNanos(5);

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final AtomicLong mClockNs = new AtomicLong();
    private final Inbox<Input> mInbox = new Inbox<>();
    private final Inbox<Input> mOtherInbox = new Inbox<>();
    private final Deque<Input> mInputs = new ArrayDeque<>();
    private final PeerLinks mLinks = listen(freeAddress(), mInbox);

    @AfterEach
    void close() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private PeerLinks listen(String address, Inbox<Input> inbox) {
        try {
            return PeerLinks.listen(mGroup, address, inbox, mClockNs::get);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static String freeAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static SendPeerMessage message(String address, long toIncarnation, long sequence) {
        PeerMessage message =
                new PeerMessage("e1", 5, toIncarnation, sequence, 0, 1, 0, -1, -1, 0, List.of());
        return new SendPeerMessage("e2", address, message);
    }

    private void send(String address, long toIncarnation, long sequence) {
        mLinks.send(message(address, toIncarnation, sequence));
    }

    private void advanceClock(long ms) {
        mClockNs.addAndGet(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    private <T extends Input> T next(Inbox<Input> inbox, Class<T> type) {
        long deadline = System.nanoTime() + WAIT_NS;
        while (mInputs.isEmpty() && System.nanoTime() < deadline) {
            inbox.await(POLL_NS);
            mInputs.addAll(inbox.drain());
        }
        return type.cast(mInputs.remove());
    }

    private long nextSequence() {
        return next(mOtherInbox, PeerMessageReceived.class).message().sequence();
    }

    @Nested
    class Refusals {
        @Test
        void reportExpectedIncarnation() {
            send(freeAddress(), 77, 1);
            assertThat(next(mInbox, PeerConnectionRefused.class))
                    .isEqualTo(new PeerConnectionRefused("e2", 77));
        }

        @Test
        void areLimitedByReconnectInterval() {
            String address = freeAddress();
            send(address, 77, 1);
            next(mInbox, PeerConnectionRefused.class);
            advanceClock(249);
            send(address, 77, 2);
            assertThat(mInbox.drain()).isEmpty();
            advanceClock(1);
            send(address, 77, 3);
            assertThat(next(mInbox, PeerConnectionRefused.class).incarnation()).isEqualTo(77);
        }

        @Test
        void areDistinguishedFromOtherFailures() {
            assertThat(PeerLink.isRefusal(new ConnectException("Connection refused: x"))).isTrue();
            assertThat(PeerLink.isRefusal(new ConnectException("Network is unreachable")))
                    .isFalse();
            assertThat(PeerLink.isRefusal(new ConnectTimeoutException("Connection refused")))
                    .isFalse();
            assertThat(PeerLink.isRefusal(new IOException("Connection refused"))).isFalse();
        }
    }

    @Nested
    class Messages {
        private final String mAddress = freeAddress();

        @Test
        void areDeliveredFromTheFirst() {
            listen(mAddress, mOtherInbox);
            send(mAddress, 7, 1);
            assertThat(nextSequence()).isEqualTo(1);
            send(mAddress, 7, 2);
            assertThat(nextSequence()).isEqualTo(2);
        }

        @Test
        void areSentToChangedAddress() {
            listen(mAddress, mOtherInbox);
            send(freeAddress(), 7, 1);
            next(mInbox, PeerConnectionRefused.class);
            send(mAddress, 7, 2);
            assertThat(nextSequence()).isEqualTo(2);
        }

        @Test
        void useNewConnectionAfterSilence() throws IOException {
            try (ServerSocket server = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
                server.setSoTimeout(WAIT_MS);
                String address = "127.0.0.1:" + server.getLocalPort();
                send(address, 7, 1);
                server.accept();
                advanceClock(3_000);
                send(address, 7, 2);
                assertThat(server.accept().isConnected()).isTrue();
            }
        }

        @Test
        void reachOtherPeersWhileOneDoesNotRead() throws IOException {
            listen(mAddress, mOtherInbox);
            try (ServerSocket unreadServer =
                    new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                SendPeerMessage undelivered =
                        message("127.0.0.1:" + unreadServer.getLocalPort(), 7, 1);
                for (int i = 0; i < 100_000; i++) {
                    mLinks.send(
                            new SendPeerMessage(
                                    "e3", undelivered.address(), undelivered.message()));
                }
                send(mAddress, 7, 2);
                assertThat(nextSequence()).isEqualTo(2);
            }
        }
    }

    @Nested
    class MalformedAddress {
        /** The exception left the control thread's output handler, with the outputs after it. */
        @Test
        void costsNoOtherMessage() {
            String address = freeAddress();
            listen(address, mOtherInbox);
            send("127.0.0.1:65536", 7, 1);
            send("127.0.0.1", 7, 2);
            send(address, 7, 3);
            PeerMessageReceived received = next(mOtherInbox, PeerMessageReceived.class);
            assertThat(received.message().sequence()).isEqualTo(3);
        }
    }
}
