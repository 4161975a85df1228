package org.hibiscususher.standin.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import org.hibiscususher.daemon.store.EtcdStore;
import org.hibiscususher.standin.HttpServer;
import org.hibiscususher.standin.store.StoreMain;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * The client of the etcd gateway against the stand-in store over HTTP. The client caches the value
 * of a watched key; a stale cache would return the value before the last change.
 */
class EtcdStoreTest {
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpServer mServer;
    private EtcdStore mStore;
    private EtcdStore mWriter;

    @BeforeEach
    void startStore() throws IOException {
        mServer = StoreMain.listen("127.0.0.1:0");
        mStore = EtcdStore.create(mGroup, mServer.address());
        mWriter = EtcdStore.create(mGroup, mServer.address());
        mStore.watch("k", value -> {});
    }

    @AfterEach
    void stopStore() {
        mServer.close();
        mGroup.shutdownGracefully();
    }

    private String read() throws InterruptedException, ExecutionException {
        return mStore.get("k").get().map(v -> v.version() + " " + new String(v.value())).orElse("");
    }

    @Nested
    class WatchedKeys {
        @Test
        void returnTheLatestValue() throws InterruptedException, ExecutionException {
            assertThat(read()).isEmpty();
            assertThat(mWriter.compareAndSwap("k", 0, "one".getBytes()).get()).isTrue();
            assertThat(read()).isEqualTo("1 one");
            assertThat(read()).isEqualTo("1 one");
            assertThat(mWriter.compareAndSwap("k", 1, "two".getBytes()).get()).isTrue();
            assertThat(read()).isEqualTo("2 two");
            assertThat(read()).isEqualTo("2 two");
        }
    }
}
