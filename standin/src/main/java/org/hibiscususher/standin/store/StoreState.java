package org.hibiscususher.standin.store;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscususher.core.table.Table;

/**
 * State of the store stand-in: keys, watches, platform hosts and the current fault. Confined to the
 * server's event loop thread.
 */
final class StoreState {
    private final Table<String, Entry> mEntries = Table.create();
    private final Map<String, List<Channel>> mWatches = new HashMap<>();
    private final PlatformHosts mPlatformHosts = new PlatformHosts();
    private StoreFault mFault = StoreFault.NONE;
    private long mRevision;

    /**
     * A stored value.
     *
     * @param key key in base64, as the gateway sends it
     * @param value value in base64
     * @param revision revision of the store that last changed the value
     */
    record Entry(String key, String value, long revision) {}

    Table<String, Entry> entries() {
        return mEntries;
    }

    PlatformHosts platformHosts() {
        return mPlatformHosts;
    }

    StoreFault fault() {
        return mFault;
    }

    void setFault(StoreFault fault) {
        mFault = fault;
    }

    long revision() {
        return mRevision;
    }

    /**
     * Writes a value if the key has the expected revision.
     *
     * @param expected revision that the key must have; 0 if it must not exist
     * @return whether the value was written
     */
    boolean compareAndSet(String key, long expected, String value) {
        long current = mEntries.find(key).map(Entry::revision).orElse(0L);
        if (current != expected) {
            return false;
        }
        mRevision++;
        mEntries.put(key, new Entry(key, value, mRevision));
        return true;
    }

    /** Returns the mutable list of connections that watch a key. */
    List<Channel> watchChannels(String key) {
        return mWatches.computeIfAbsent(key, k -> new ArrayList<>());
    }
}
