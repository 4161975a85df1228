package org.hibiscususher.daemon.forward;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.wire.scheduler.ForwardCodec;
import org.hibiscususher.wire.scheduler.ForwardMessage;

/** Another entry, whose answers a test gives by hand. */
final class ScriptedEntry implements AutoCloseable {
    private static final long RECEIVE_TIMEOUT_MS = 5_000;

    private final ServerSocket mServer;
    private final BlockingQueue<Received> mReceived = new LinkedBlockingQueue<>();
    private final BlockingQueue<Socket> mEnded = new LinkedBlockingQueue<>();

    private ScriptedEntry(ServerSocket server) {
        mServer = server;
    }

    static ScriptedEntry start() throws IOException {
        ScriptedEntry entry =
                new ScriptedEntry(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        startThread(entry::acceptAll);
        return entry;
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "scripted-entry");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    /** Returns the next message, in the order of arrival. */
    Received receive() throws InterruptedException {
        Received received = mReceived.poll(RECEIVE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (received == null) {
            throw new AssertionError("no message arrived");
        }
        return received;
    }

    /** Returns whether the other side ends a connection within a time. */
    boolean isConnectionEndedWithin(long timeoutMs) throws InterruptedException {
        return mEnded.poll(timeoutMs, TimeUnit.MILLISECONDS) != null;
    }

    private void acceptAll() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                startThread(() -> readAll(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void readAll(Socket socket) {
        try (DataInputStream in = new DataInputStream(socket.getInputStream())) {
            while (true) {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                mReceived.add(new Received(socket, ForwardCodec.decode(frame)));
            }
        } catch (IOException e) {
            mEnded.add(socket);
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    /** A message and the connection on which it arrived. */
    record Received(Socket socket, ForwardMessage message) {
        void answer(JobResponse response) {
            answerFrame(ForwardCodec.encode(ForwardMessage.of(message.callId(), response)));
        }

        /** Sends a frame with any content. */
        void answerFrame(byte[] frame) {
            try {
                DataOutputStream out = new DataOutputStream(socket.getOutputStream());
                out.writeInt(frame.length);
                out.write(frame);
                out.flush();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        void closeConnection() throws IOException {
            socket.close();
        }
    }
}
