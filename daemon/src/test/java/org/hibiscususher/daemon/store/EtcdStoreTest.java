package org.hibiscususher.daemon.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.core.message.PlatformHost;
import org.hibiscususher.daemon.store.PlatformStore.Changes;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A store whose responses have odd entries beside the good ones. */
class EtcdStoreTest {
    private static final String GOOD =
            "{\"key\":\"%s\",\"value\":\"%s\",\"mod_revision\":\"7\"}"
                    .formatted(base64("k"), base64("good"));

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private HttpServer mServer;
    private volatile String mBody;
    private PlatformStore mStore;

    @BeforeEach
    void start() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        mServer = HttpServer.create(new InetSocketAddress(loopback, 0), 0);
        mServer.setExecutor(mThreads);
        mServer.createContext("/", this::respond);
        mServer.start();
        mStore = EtcdStore.create(mGroup, "127.0.0.1:" + mServer.getAddress().getPort());
    }

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mServer.stop(0);
        mThreads.shutdownNow();
    }

    private void respond(HttpExchange exchange) {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            byte[] body = mBody.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(VersionedValue value) {
        return new String(value.value(), StandardCharsets.UTF_8);
    }

    @Nested
    class Watch {
        private final BlockingQueue<String> mValues = new LinkedBlockingQueue<>();

        /** The watch was repeated from its start, and ended at the same line each time. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "{",
                    "null",
                    "",
                    "[17]",
                    "{\"result\":{\"events\":[17,null,{}]}}",
                    "{\"result\":{\"events\":[{\"kv\":{\"value\":\"%%\"}}]}}",
                    "{\"result\":{\"events\":[{\"kv\":{\"value\":{}}}]}}"
                })
        void reportsWhatFollowsAnOddLine(String line) throws InterruptedException {
            mBody = line + "\n{\"result\":{\"events\":[{\"kv\":" + GOOD + "}]}}\n";
            mStore.watch("k", value -> mValues.add(text(value)));
            String value = mValues.poll(3, TimeUnit.SECONDS);
            while (value != null && value.isEmpty()) {
                value = mValues.poll(3, TimeUnit.SECONDS);
            }
            assertThat(value).isEqualTo("good");
        }

        @Test
        void reportsWhatFollowsALineOfDeepNesting() throws InterruptedException {
            reportsWhatFollowsAnOddLine("[".repeat(100_000));
        }

        @Test
        void goesOnIfItsConsumerFails() throws InterruptedException {
            String event = "{\"result\":{\"events\":[{\"kv\":" + GOOD + "}]}}\n";
            mBody = event + event;
            mStore.watch(
                    "k",
                    value -> {
                        mValues.add(text(value));
                        throw new IllegalStateException("consumer failed");
                    });
            long startNs = System.nanoTime();
            assertThat(mValues.poll(3, TimeUnit.SECONDS)).isEqualTo("good");
            assertThat(mValues.poll(3, TimeUnit.SECONDS)).isEqualTo("good");
            // A repeated watch reports again only after 500 ms.
            assertThat(System.nanoTime() - startNs).isLessThan(400_000_000);
        }
    }

    @Nested
    class Lists {
        /** One odd entry made each reading of the changes fail. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "17",
                    "null",
                    "{}",
                    "{\"key\":\"%%\",\"value\":\"\"}",
                    "{\"key\":\"b2Rk\",\"value\":\"%%\"}",
                    "{\"key\":{},\"value\":\"\"}"
                })
        void ofChangesHoldTheGoodOnes(String odd) throws Exception {
            mBody = "{\"header\":{\"revision\":\"9\"},\"kvs\":[" + odd + "," + GOOD + "]}";
            Changes changes = mStore.changes("k", 3).get(5, TimeUnit.SECONDS);
            Map<String, VersionedValue> values = changes.values();
            assertThat(changes.version()).isEqualTo(9);
            assertThat(values).containsOnlyKeys("k");
            assertThat(text(values.get("k"))).isEqualTo("good");
        }

        @ParameterizedTest
        @ValueSource(strings = {"17", "null", "{}", "{\"id\":7}", "{\"id\":\"\"}"})
        void ofHostsHoldTheGoodOnes(String odd) throws Exception {
            mBody = "{\"hosts\":[" + odd + ",{\"id\":\"h1\",\"bootId\":\"b\"}]}";
            List<PlatformHost> hosts = mStore.hosts().get(5, TimeUnit.SECONDS);
            assertThat(hosts).containsExactly(new PlatformHost("h1", false, "b"));
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "null", "17", "[]", "{}", "{\"kvs\":[]}"})
        void failWithoutTheirRevision(String body) {
            mBody = body;
            assertThat(mStore.changes("k", 3))
                    .failsWithin(5, TimeUnit.SECONDS)
                    .withThrowableOfType(ExecutionException.class);
        }
    }
}
