package org.hibiscususher.daemon.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hibiscususher.core.message.PlatformHost;

/** The platform's key-value store, list of hosts and reboot call. Thread-safe. */
public interface PlatformStore {
    /**
     * Reads a value.
     *
     * @param key name of the value in the store
     * @return future of the value, empty if there is none; fails with an {@link
     *     java.io.IOException} if the store does not respond
     */
    CompletableFuture<Optional<VersionedValue>> get(String key);

    /**
     * Writes a value if its version is as expected.
     *
     * @param key name of the value in the store
     * @param expectedVersion version that the value must have, 0 if it must not exist
     * @param value new value
     * @return future of whether the value was written; fails with an {@link java.io.IOException} if
     *     the store does not respond, in which case the value may or may not have been written
     */
    CompletableFuture<Boolean> compareAndSwap(String key, long expectedVersion, byte[] value);

    /**
     * Watches a value until the event loops shut down; a broken watch is repeated after a delay.
     *
     * <p>A repeated watch may report values that were reported before.
     *
     * @param key name of the value in the store
     * @param consumer called on an event loop with each new value
     */
    void watch(String key, Consumer<VersionedValue> consumer);

    /**
     * Reads the list of hosts that are live or leaving.
     *
     * @return future of the list; fails with an {@link java.io.IOException} if the platform does
     *     not respond
     */
    CompletableFuture<List<PlatformHost>> hosts();

    /**
     * Reads the values that were written after a version of the store.
     *
     * @param prefix prefix of the keys to read; not empty
     * @param sinceVersion values of this version and older ones are left out
     * @return future of the values; fails with an {@link java.io.IOException} if the store does not
     *     respond
     */
    CompletableFuture<Changes> changes(String prefix, long sinceVersion);

    /**
     * Reboots a host if its boot id is as expected.
     *
     * <p>The call is idempotent: with a token that was used before, the platform does nothing and
     * repeats its earlier response.
     *
     * @param host name of the host
     * @param bootId boot id that the host must have, so that a host that has rebooted since is not
     *     rebooted again
     * @param token idempotency token of this reboot
     * @return future of whether the platform accepted the reboot; fails with an {@link
     *     java.io.IOException} if the platform does not respond, in which case the host may be
     *     rebooting
     */
    CompletableFuture<Boolean> reboot(String host, String bootId, String token);

    /**
     * Values that were written after some version of the store.
     *
     * @param version version of the store at the time of the read, from which to continue
     * @param values current values by key
     */
    record Changes(long version, Map<String, VersionedValue> values) {
        /** Copies the values. */
        public Changes {
            values = Map.copyOf(values);
        }
    }
}
