package org.hibiscususher.daemon.front;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A target whose responses a test sends as raw bytes. */
final class ScriptedTarget implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;
    private static final int SEND_BUFFER_BYTES = 64 * 1024;

    private final ServerSocket mServer;
    private Socket mSocket;

    ScriptedTarget() throws IOException {
        mServer = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(TIMEOUT_MS);
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    /** Accepts the next connection, which becomes the current one. */
    ScriptedTarget accept() throws IOException {
        mSocket = mServer.accept();
        mSocket.setSoTimeout(TIMEOUT_MS);
        mSocket.setSendBufferSize(SEND_BUFFER_BYTES);
        return this;
    }

    /** Reads the head of a request and a body of a given size; returns both. */
    String read(int bodyBytes) throws IOException {
        InputStream in = mSocket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed after: " + head);
            }
            head.append((char) next);
        }
        return head + new String(in.readNBytes(bodyBytes), StandardCharsets.ISO_8859_1);
    }

    ScriptedTarget send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Closes the current connection in an orderly way, without a reset. */
    void closeConnection() throws IOException {
        mSocket.close();
    }

    /** Reads from the current connection; returns whether it has ended, failed or timed out. */
    boolean isClosedByFrontEnd() {
        try {
            return mSocket.getInputStream().read() < 0;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        if (mSocket != null) {
            mSocket.close();
        }
        mServer.close();
    }
}
