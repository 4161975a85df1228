package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * A message from one entry to another. It may be lost, repeated, delayed and reordered without
 * harm.
 *
 * @param from the sender's member id
 * @param incarnation the sender's incarnation
 * @param toIncarnation the receiver's incarnation as known to the sender; a process with another
 *     one ignores the message, as it was meant for its predecessor
 * @param sequence grows with each message from this sender to this receiver, from 1
 * @param acknowledged highest sequence that the sender has received from the receiver, 0 if none
 * @param epoch newest membership epoch known to the sender
 * @param revision revision in force at the sender
 * @param storeAgeMs milliseconds since the sender's last contact with the store, -1 if never
 * @param freshAgeMs milliseconds since the time as of which the sender's revision is proven
 *     current, -1 if there is no proof
 * @param knownRevision newest revision that the sender knows to be written
 * @param items the content, in the order in which it was queued
 */
public record PeerMessage(
        String from,
        long incarnation,
        long toIncarnation,
        long sequence,
        long acknowledged,
        long epoch,
        long revision,
        long storeAgeMs,
        long freshAgeMs,
        long knownRevision,
        List<PeerItem> items) {
    /** Makes a defensive copy of the items. */
    public PeerMessage {
        requireNonNull(from);
        items = List.copyOf(items);
    }
}
