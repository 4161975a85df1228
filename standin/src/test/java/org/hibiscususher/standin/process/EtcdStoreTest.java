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

class EtcdStoreTest {
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpServer mServer;
    private EtcdStore mStore;
    private EtcdStore mOther;

    @BeforeEach
    void start() throws IOException {
        mServer = StoreMain.listen("127.0.0.1:0");
        mStore = EtcdStore.create(mGroup, mServer.address());
        mOther = EtcdStore.create(mGroup, mServer.address());
        mStore.watch("k", value -> {});
    }

    @AfterEach
    void stop() {
        mServer.close();
        mGroup.shutdownGracefully();
    }

    private String read() throws InterruptedException, ExecutionException {
        return mStore.get("k").get().map(v -> v.version() + " " + new String(v.value())).orElse("");
    }

    @Nested
    class WatchedKeys {
        @Test
        void areReadAgainOnlyIfChanged() throws InterruptedException, ExecutionException {
            assertThat(read()).isEmpty();
            assertThat(mOther.compareAndSwap("k", 0, "one".getBytes()).get()).isTrue();
            assertThat(read()).isEqualTo("1 one");
            assertThat(read()).isEqualTo("1 one");
            assertThat(mOther.compareAndSwap("k", 1, "two".getBytes()).get()).isTrue();
            assertThat(read()).isEqualTo("2 two");
            assertThat(read()).isEqualTo("2 two");
        }
    }
}
