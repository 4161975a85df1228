package org.hibiscususher.daemon.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hibiscususher.core.message.PlatformHost;

/** The platform's key-value store and list of hosts. Thread-safe. */
public interface PlatformStore {
    /** Reads a value; fails with an {@link java.io.IOException} if no answer comes. */
    CompletableFuture<Optional<VersionedValue>> get(String key);

    /**
     * Writes a value if its version is as expected.
     *
     * <p>Gives whether it was written; fails with an {@link java.io.IOException} if no answer
     * comes, and then the value may have been written.
     *
     * @param key the key
     * @param expectedVersion the version last seen, 0 if there is no value
     * @param value the new value
     */
    CompletableFuture<Boolean> compareAndSwap(String key, long expectedVersion, byte[] value);

    /**
     * Watches a value for good; each change is given to the consumer on an event loop.
     *
     * <p>A watch that breaks is set up again until the store is closed.
     */
    void watch(String key, Consumer<VersionedValue> consumer);

    /** Reads the list of live and leaving hosts; fails with an {@link java.io.IOException}. */
    CompletableFuture<List<PlatformHost>> hosts();

    /**
     * Reads the values whose keys begin with a prefix and that are newer than a version; fails with
     * an {@link java.io.IOException} if no answer comes.
     */
    CompletableFuture<Changes> changes(String prefix, long sinceVersion);

    /**
     * Reboots a host if its boot id is as expected.
     *
     * <p>A repeated call with the same token does nothing more and gives the same answer. Gives
     * whether the host reboots; fails with an {@link java.io.IOException} if no answer comes, and
     * then it may be rebooting.
     */
    CompletableFuture<Boolean> reboot(String host, String bootId, String token);

    /**
     * Values that have changed.
     *
     * @param version the store's version at the time of the read
     * @param values the values by key
     */
    record Changes(long version, Map<String, VersionedValue> values) {
        /** Copies the map. */
        public Changes {
            values = Map.copyOf(values);
        }
    }
}
