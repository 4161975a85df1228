package org.hibiscususher.daemon.front;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller's connection, over which a test sends and receives raw bytes. */
final class CallerSocket implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private final Socket mSocket = new Socket();

    CallerSocket(String address) throws IOException {
        mSocket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        mSocket.setSoTimeout(TIMEOUT_MS);
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        mSocket.connect(new InetSocketAddress("127.0.0.1", port), TIMEOUT_MS);
    }

    CallerSocket send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Reads up to and including a text; fails if the connection closes before. */
    String readTo(String end) throws IOException {
        InputStream in = mSocket.getInputStream();
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        while (!read.toString(StandardCharsets.ISO_8859_1).endsWith(end)) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed after: " + read);
            }
            read.write(next);
        }
        return read.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a number of bytes; returns how many are missing or not the expected character. */
    int countMismatches(int count, char expected) throws IOException {
        byte[] bytes = mSocket.getInputStream().readNBytes(count);
        int wrong = count - bytes.length;
        for (byte read : bytes) {
            wrong += read == expected ? 0 : 1;
        }
        return wrong;
    }

    /** Reads until the connection closes; fails if it is reset. */
    String readToClose() throws IOException {
        return new String(mSocket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Reads until the connection ends; returns whether it was reset or timed out. */
    boolean isReset() {
        try {
            readToClose();
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
