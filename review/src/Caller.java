import com.fasterxml.jackson.databind.JsonNode;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client with one open connection to an entry. */
final class Caller implements AutoCloseable {
    static final int TIME_LIMIT_MS = 3_000;
    private static final int CONNECT_MS = 2_000;

    /** A response; status 0 if none came within the time limit or the connection broke. */
    record Response(int status, String body, String retryAfter) {}

    private final Socket mSocket = new Socket();
    private final DataInputStream mIn;
    private final String mName;
    private final String mHost;
    private final String mKey;
    private final Record mRecord;

    Caller(String name, String ip, int port, String host, String key, Record record)
            throws IOException {
        mName = name;
        mHost = host;
        mKey = key;
        mRecord = record;
        mSocket.connect(new InetSocketAddress(ip, port), CONNECT_MS);
        mSocket.setTcpNoDelay(true);
        mIn = new DataInputStream(mSocket.getInputStream());
    }

    /** Sends a request and waits for its response, at most for the time limit. */
    Response call(String method, String path, JsonNode body) {
        return call(method, path, body, TIME_LIMIT_MS);
    }

    Response call(String method, String path, JsonNode body, int limitMs) {
        mRecord.line("call  " + mName + " " + method + " " + path);
        Response response;
        try {
            send(method, path, body);
            mSocket.setSoTimeout(limitMs);
            response = read();
        } catch (SocketTimeoutException e) {
            response = new Response(0, "no response in " + limitMs + " ms", "");
        } catch (IOException e) {
            response = new Response(0, e.toString(), "");
        }
        mRecord.line("call  " + mName + " " + method + " " + path + " -> " + response.status()
                + " " + response.body()
                + (response.retryAfter().isEmpty() ? "" : " retry-after=" + response.retryAfter()));
        return response;
    }

    private void send(String method, String path, JsonNode body) throws IOException {
        byte[] content = body == null ? new byte[0]
                : body.toString().getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + mHost
                + "\r\nAuthorization: Bearer " + mKey + "\r\nDeadline-Ms: " + TIME_LIMIT_MS
                + "\r\nContent-Type: application/json\r\nContent-Length: " + content.length
                + "\r\n\r\n";
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[start.length + content.length];
        System.arraycopy(start, 0, message, 0, start.length);
        System.arraycopy(content, 0, message, start.length, content.length);
        mSocket.getOutputStream().write(message);
    }

    private Response read() throws IOException {
        String status = line();
        int length = 0;
        String retryAfter = "";
        for (String header = line(); !header.isEmpty(); header = line()) {
            int colon = header.indexOf(':');
            String name = header.substring(0, colon).toLowerCase();
            String value = header.substring(colon + 1).trim();
            if (name.equals("content-length")) {
                length = Integer.parseInt(value);
            } else if (name.equals("retry-after")) {
                retryAfter = value;
            }
        }
        byte[] body = new byte[length];
        mIn.readFully(body);
        return new Response(Integer.parseInt(status.split(" ")[1]),
                new String(body, StandardCharsets.UTF_8), retryAfter);
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = mIn.read(); c != '\n'; c = mIn.read()) {
            if (c < 0) {
                throw new IOException("connection closed");
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
