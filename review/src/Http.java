import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** What the stand-ins share: JSON over HTTP/1.1, a thread for each request. */
final class Http {
    static final ObjectMapper JSON = new ObjectMapper();

    private static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private Http() {}

    /** Handles a request; returns the response, or null to close the connection without one. */
    interface Handler {
        Answer handle(HttpExchange exchange, JsonNode body) throws Exception;
    }

    /** A response with a JSON body. */
    record Answer(int status, JsonNode body) {
        static Answer of(int status) {
            return new Answer(status, JSON.createObjectNode());
        }
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static HttpServer listen(String ip, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 200);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> serve(exchange, handler));
        server.start();
        return server;
    }

    private static void serve(HttpExchange exchange, Handler handler) {
        try (exchange) {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = bytes.length == 0 ? object() : JSON.readTree(bytes);
            Answer answer = handler.handle(exchange, body);
            if (answer == null) {
                return;
            }
            byte[] content = JSON.writeValueAsBytes(answer.body());
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), content.length);
            try (OutputStream out = exchange.getResponseBody()) {
                out.write(content);
            }
        } catch (IOException e) {
            // The other side has closed the connection.
        } catch (Exception e) {
            e.printStackTrace();
        }
    }

    /** Returns a parameter of the query; empty if it is missing. */
    static String query(HttpExchange exchange, String name) {
        String query = exchange.getRequestURI().getQuery();
        for (String part : query == null ? new String[0] : query.split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return "";
    }
}
