import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Calls the entries as a client does, one connection a call. */
final class Caller {
    record Answer(int status, String body) {}

    private final Site site;

    Caller(Site site) {
        this.site = site;
    }

    /** Sends one call to one entry; status 0 without an answer within 3 s. */
    Answer call(Entry entry, String method, String path, String key, String body) {
        Answer answer;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, entry.front), 1000);
            socket.setSoTimeout(3000);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nAuthorization: Bearer " + key
                            + "\r\nDeadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                            + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(bytes);
            answer = read(socket.getInputStream());
        } catch (Exception e) {
            answer = new Answer(0, e.toString());
        }
        site.record.line("caller", method + " " + path + " at " + entry.name + " -> " + answer.status() + " " + answer.body());
        return answer;
    }

    private static Answer read(InputStream in) throws Exception {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return new Answer(0, "closed");
            }
            head.append((char) c);
        }
        int length = 0;
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        return new Answer(Integer.parseInt(head.substring(9, 12)), body);
    }

    /** Submits with retries at the entries in turn, at most for {@code forMs}; returns the status. */
    int submit(String id, String key, String body, long forMs) throws InterruptedException {
        long untilMs = site.nowMs() + forMs;
        int status = 0;
        for (int i = 0; site.nowMs() < untilMs; i++) {
            Entry entry = site.entries.get(i % site.entries.size());
            if (entry.isAlive()) {
                status = call(entry, "POST", Site.PREFIX + id, key, body).status();
                if (status / 100 == 2 || status == 400 || status == 404 || status == 401) {
                    return status;
                }
            }
            Thread.sleep(100);
        }
        return status;
    }

    /** Returns the state of a submission as any entry shows it, or the status. */
    String state(String id, String key) {
        for (Entry entry : site.entries) {
            if (entry.isAlive()) {
                Answer answer = call(entry, "GET", Site.PREFIX + id, key, "");
                if (answer.status() == 200) {
                    return answer.body().replaceAll(".*\"state\":\"([a-z]+)\".*", "$1");
                }
                if (answer.status() == 410) {
                    return "410";
                }
            }
        }
        return "none";
    }
}
