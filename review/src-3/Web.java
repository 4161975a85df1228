import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** A small HTTP server with JSON bodies on a free loopback port. */
final class Web {
    static final ObjectMapper JSON = new ObjectMapper();

    /** Answers a call; null closes the connection without a response. */
    interface Handler {
        Reply handle(Call call) throws Exception;
    }

    record Call(String method, String path, Map<String, String> query, HttpExchange exchange, JsonNode body) {
        String header(String name) {
            return exchange.getRequestHeaders().getFirst(name);
        }
    }

    record Reply(int status, ObjectNode body) {}

    private final HttpServer server;

    Web(Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task);
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", exchange -> serve(handler, exchange));
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Closes the port and all connections. */
    void stop() {
        server.stop(0);
    }

    static Reply reply(int status) {
        return new Reply(status, JSON.createObjectNode());
    }

    private static void serve(Handler handler, HttpExchange exchange) {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
            Map<String, String> query = new HashMap<>();
            String text = exchange.getRequestURI().getRawQuery();
            for (String part : text == null ? new String[0] : text.split("&")) {
                int at = part.indexOf('=');
                query.put(part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
            }
            Call call =
                    new Call(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, exchange, body);
            Reply reply = handler.handle(call);
            if (reply != null) {
                byte[] out = JSON.writeValueAsBytes(reply.body());
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(reply.status(), out.length);
                exchange.getResponseBody().write(out);
            }
        } catch (IOException e) {
            // The caller has closed its connection.
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            exchange.close();
        }
    }
}
