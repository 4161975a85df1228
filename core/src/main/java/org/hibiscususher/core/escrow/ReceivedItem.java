package org.hibiscususher.core.escrow;

import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.world.MemberKey;

/**
 * An item with its sender.
 *
 * @param from the sender
 * @param sequence number of the sender's message
 * @param item the item
 */
record ReceivedItem(MemberKey from, long sequence, PeerItem item) {}
