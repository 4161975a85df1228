package org.hibiscususher.daemon.admin;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.daemon.control.Inbox;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that each operator's request gets its own answer, with the test as control thread. */
class AdminServerTest {
    private static final int TIMEOUT_MS = 10_000;
    private static final long POLL_NS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final String EXPORT = "GET /export HTTP/1.1\r\n\r\n";
    private static final String UNKNOWN_PATH = "GET /nothing HTTP/1.1\r\n\r\n";

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Inbox<Input> mInbox = new Inbox<>();
    private final OperatorCalls mCalls = OperatorCalls.create(mInbox);
    private Socket mOperator;

    @BeforeEach
    void connect() throws IOException {
        String address =
                AdminServer.listen(mGroup, "127.0.0.1:0", mCalls, new MetricRegistry()).address();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        mOperator = new Socket(InetAddress.getLoopbackAddress(), port);
        mOperator.setSoTimeout(TIMEOUT_MS);
    }

    @AfterEach
    void close() throws IOException {
        mOperator.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private void send(String requests) throws IOException {
        mOperator.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads the status of the next response and skips its headers. */
    private int readStatus() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = mOperator.getInputStream().read();
            assertThat(next).as("connection closed after " + head).isNotNegative();
            head.append((char) next);
        }
        String length = head.toString().toLowerCase().split("content-length: ")[1];
        mOperator.getInputStream().readNBytes(Integer.parseInt(length.split("\r\n")[0]));
        return Integer.parseInt(head.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
    }

    /** Waits for the next query for an export and returns its call id. */
    private long nextExport() {
        List<Input> inputs = new ArrayList<>();
        while (inputs.isEmpty()) {
            mInbox.await(POLL_NS);
            inputs.addAll(mInbox.drain());
        }
        return ((Input.ExportRequested) inputs.get(0)).callId();
    }

    @Nested
    class Answers {
        @Test
        void comeInTheOrderOfPipelinedRequests() throws IOException {
            send(EXPORT + UNKNOWN_PATH);
            mCalls.complete(nextExport(), new Output.ReplyToExport(0, Configuration.EMPTY));
            assertThat(readStatus()).isEqualTo(200);
            assertThat(readStatus()).isEqualTo(404);
        }

        @Test
        void comeForPathsThatCannotBeDecoded() throws IOException {
            send("GET /%zz HTTP/1.1\r\n\r\n");
            assertThat(readStatus()).isEqualTo(400);
        }

        @Test
        void comeIfReplyCannotBeEncoded() throws IOException {
            send(EXPORT + UNKNOWN_PATH);
            mCalls.complete(nextExport(), new Output.ShutdownDone());
            assertThat(readStatus()).isEqualTo(500);
            assertThat(readStatus()).isEqualTo(404);
        }

        @Test
        void comeIfEntryEndsBeforeItsReply() throws IOException {
            send(EXPORT);
            nextExport();
            mCalls.failAll();
            assertThat(readStatus()).isEqualTo(503);
        }

        @Test
        void comeIfControlThreadTakesNoMoreInputs() throws IOException {
            while (mInbox.offer(new Input.ShutdownRequested())) {
                // Fills the part of the inbox that is not reserved.
            }
            send(EXPORT);
            assertThat(readStatus()).isEqualTo(503);
        }
    }
}
