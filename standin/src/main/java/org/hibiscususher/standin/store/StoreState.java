package org.hibiscususher.standin.store;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscususher.core.table.Table;

/** The keys, watches and faults of the store. Belongs to the server's one thread. */
final class StoreState {
    private final Table<String, Entry> mEntries = Table.create();
    private final Map<String, List<Channel>> mWatches = new HashMap<>();
    private final PlatformHosts mPlatformHosts = new PlatformHosts();
    private StoreFault mFault = StoreFault.NONE;
    private long mRevision;

    /** A value and the revision of its last change. */
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

    /** Writes a value if its revision is as expected; returns whether it was written. */
    boolean compareAndSet(String key, long expected, String value) {
        long current = mEntries.find(key).map(Entry::revision).orElse(0L);
        if (current != expected) {
            return false;
        }
        mRevision++;
        mEntries.put(key, new Entry(key, value, mRevision));
        return true;
    }

    List<Channel> watchChannels(String key) {
        return mWatches.computeIfAbsent(key, k -> new ArrayList<>());
    }
}
