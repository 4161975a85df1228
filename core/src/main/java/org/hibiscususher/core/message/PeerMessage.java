package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * What one entry tells another. Safe to lose, double, delay and reorder.
 *
 * @param from the sender's member id
 * @param incarnation the sender's incarnation
 * @param toIncarnation the receiver's incarnation as the sender knows it; another one ignores this
 * @param sequence grows with each message from this sender to this receiver, from 1
 * @param acknowledged highest sequence that the sender has received from the receiver, 0 if none
 * @param epoch newest epoch that the sender knows
 * @param revision revision that the sender has in force
 * @param storeAgeMs milliseconds since the sender's last contact with the store, -1 if none ever
 * @param freshAgeMs milliseconds for which the sender's revision is known to be current, -1 if it
 *     can't vouch for it
 * @param knownRevision newest revision that the sender knows to be written
 * @param items what it has to say
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
    /** Copies the items. */
    public PeerMessage {
        requireNonNull(from);
        items = List.copyOf(items);
    }
}
