package org.hibiscususher.daemon.store;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.message.FleetRecord;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output.ReadFleetRecords;
import org.hibiscususher.core.message.Output.ReadRecord;
import org.hibiscususher.core.message.Output.RebootHost;
import org.hibiscususher.core.message.Output.SwapRecord;
import org.hibiscususher.core.message.RebootResult;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.SwapResult;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.daemon.control.Inbox;
import org.hibiscususher.wire.json.RecordCodec;

/**
 * Carries out the control thread's reads and writes of the platform's store and adds their results
 * to its inbox.
 */
public final class StoreOutputHandler {
    private static final Logger LOG = System.getLogger(StoreOutputHandler.class.getName());

    private final PlatformStore mStore;
    private final Inbox<Input> mInbox;

    private StoreOutputHandler(PlatformStore store, Inbox<Input> inbox) {
        mStore = store;
        mInbox = inbox;
    }

    /**
     * Creates a handler.
     *
     * @param store store to read and write
     * @param inbox receives the results
     */
    public static StoreOutputHandler create(PlatformStore store, Inbox<Input> inbox) {
        return new StoreOutputHandler(store, inbox);
    }

    /** Watches a record; each version adds an input, except one that can't be decoded. */
    public void watch(RecordKey key) {
        mStore.watch(
                RecordCodec.storeKey(key),
                value -> {
                    try {
                        mInbox.add(new Input.RecordWatched(key, decode(key, value)));
                    } catch (IOException e) {
                        LOG.log(Level.ERROR, "event=record-malformed key=" + key.kind(), e);
                    }
                });
    }

    /** Reads a record; a record that can't be decoded counts as a failed read. */
    public void read(ReadRecord read) {
        mStore.get(RecordCodec.storeKey(read.key()))
                .whenComplete(
                        (found, failure) -> {
                            if (failure != null) {
                                mInbox.add(new Input.StoreFailed(read.callId()));
                            } else {
                                reportRead(read, found);
                            }
                        });
    }

    private void reportRead(ReadRecord read, Optional<VersionedValue> found) {
        try {
            Optional<VersionedRecord> record =
                    found.isPresent()
                            ? Optional.of(decode(read.key(), found.get()))
                            : Optional.empty();
            mInbox.add(new Input.RecordRead(read.callId(), read.key(), record));
        } catch (IOException e) {
            LOG.log(Level.ERROR, "event=record-malformed key=" + read.key().kind(), e);
            mInbox.add(new Input.StoreFailed(read.callId()));
        }
    }

    /**
     * Reads the platform's list of hosts.
     *
     * <p>A failed read adds no input, because the control thread reads the list regularly.
     */
    public void readHosts() {
        mStore.hosts()
                .whenComplete(
                        (hosts, failure) -> {
                            if (failure == null) {
                                mInbox.offer(new Input.HostListRead(hosts));
                            }
                        });
    }

    /**
     * Writes a record if its version is as expected.
     *
     * <p>After a failed call, the result is unknown: the record may have been written.
     */
    public void swap(SwapRecord swap) {
        mStore.compareAndSwap(
                        RecordCodec.storeKey(swap.key()),
                        swap.expectedVersion(),
                        RecordCodec.encode(swap.value()))
                .whenComplete(
                        (swapped, failure) -> {
                            SwapResult result =
                                    failure != null
                                            ? SwapResult.UNKNOWN
                                            : swapped ? SwapResult.SWAPPED : SwapResult.CONFLICT;
                            mInbox.add(new Input.RecordSwapped(swap.callId(), swap.key(), result));
                        });
    }

    /** Reads the records about hosts that have changed; skips records that can't be decoded. */
    public void readFleet(ReadFleetRecords read) {
        mStore.changes(RecordCodec.fleetPrefix(), read.sinceVersion())
                .whenComplete(
                        (changes, failure) -> {
                            if (failure != null) {
                                mInbox.add(new Input.StoreFailed(read.callId()));
                            } else {
                                reportFleet(read, changes);
                            }
                        });
    }

    private void reportFleet(ReadFleetRecords read, PlatformStore.Changes changes) {
        List<FleetRecord> records = new ArrayList<>();
        changes.values()
                .forEach(
                        (name, value) -> {
                            try {
                                Optional<RecordKey> key = RecordCodec.parseStoreKey(name);
                                if (key.isPresent()) {
                                    records.add(
                                            new FleetRecord(key.get(), decode(key.get(), value)));
                                }
                            } catch (IOException e) {
                                LOG.log(Level.ERROR, "event=record-malformed key=" + name, e);
                            }
                        });
        mInbox.add(new Input.FleetRecordsRead(read.callId(), changes.version(), records));
    }

    /**
     * Asks the platform to reboot a host.
     *
     * <p>After a failed call, the result is unknown: the host may be rebooting.
     */
    public void reboot(RebootHost reboot) {
        mStore.reboot(reboot.host(), reboot.bootId(), reboot.token())
                .whenComplete(
                        (accepted, failure) -> {
                            RebootResult result =
                                    failure != null
                                            ? RebootResult.UNKNOWN
                                            : accepted
                                                    ? RebootResult.ACCEPTED
                                                    : RebootResult.MISMATCH;
                            mInbox.add(
                                    new Input.RebootResponse(
                                            reboot.host(), reboot.token(), result));
                        });
    }

    private static VersionedRecord decode(RecordKey key, VersionedValue value) throws IOException {
        return new VersionedRecord(value.version(), RecordCodec.decode(key, value.value()));
    }
}
