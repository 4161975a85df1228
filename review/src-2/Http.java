import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server with a thread for each connection, and a client. */
final class Http implements AutoCloseable {
    /** A request. */
    record Request(
            String method,
            String path,
            Map<String, String> query,
            Map<String, String> headers,
            String body) {
        Map<String, Object> json() {
            return Json.parse(body);
        }
    }

    /** A response; the status 0 of a call stands for none. */
    record Response(int status, String body) {
        Map<String, Object> json() {
            return Json.parse(body);
        }
    }

    /** Answers requests; null leaves a request without an answer, on a connection that stays. */
    interface Handler {
        Response handle(Request request) throws Exception;
    }

    private final ServerSocket mServer = new ServerSocket();
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final Handler mHandler;

    private Http(InetSocketAddress address, Handler handler) throws IOException {
        mHandler = handler;
        mServer.setReuseAddress(true);
        mServer.bind(address, 256);
    }

    /** Listens on a free port of an IP address. */
    static Http listen(String ip, Handler handler) throws IOException {
        Http http = new Http(new InetSocketAddress(InetAddress.getByName(ip), 0), handler);
        start("http-accept", http::accept);
        return http;
    }

    static void start(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                mSockets.add(socket);
                start("http-connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Request request = readRequest(in);
                if (request == null) {
                    return;
                }
                Response response = mHandler.handle(request);
                if (response == null) {
                    // No answer: wait until the other side gives up.
                    while (in.read() >= 0) {
                        continue;
                    }
                    return;
                }
                byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
                String head =
                        "HTTP/1.1 " + response.status() + " X\r\nContent-Type: application/json\r\n"
                                + "Content-Length: " + body.length + "\r\n\r\n";
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.write(head.getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                socket.getOutputStream().write(out.toByteArray());
            }
        } catch (Exception e) {
            if (!(e instanceof IOException)) {
                e.printStackTrace();
            }
        } finally {
            mSockets.remove(socket);
        }
    }

    private static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        String[] parts = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        String body = readBody(in, headers);
        String[] target = parts[1].split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        for (String pair : target.length > 1 ? target[1].split("&") : new String[0]) {
            String[] both = pair.split("=", 2);
            query.put(both[0], URLDecoder.decode(both[1], StandardCharsets.UTF_8));
        }
        return new Request(parts[0], target[0], query, headers, body);
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static String readBody(InputStream in, Map<String, String> headers)
            throws IOException {
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("body cut off");
        }
        return new String(body, StandardCharsets.UTF_8);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return null;
    }

    /** Sends a request on a connection of its own; status 0 if no complete answer arrives. */
    static Response call(
            String address, String method, String path, Map<String, String> headers, String body,
            int timeoutMs) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress to =
                new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(to, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + bytes.length + "\r\n\r\n");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            socket.getOutputStream().write(out.toByteArray());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String status = readLine(in);
            if (status == null) {
                return new Response(0, "");
            }
            String answer = readBody(in, readHeaders(in));
            return new Response(Integer.parseInt(status.split(" ")[1]), answer);
        } catch (IOException e) {
            return new Response(0, "");
        }
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        try {
            mServer.close();
            for (Socket socket : mSockets) {
                socket.close();
            }
        } catch (IOException e) {
            // The socket is closed whatever is reported.
        }
    }
}
