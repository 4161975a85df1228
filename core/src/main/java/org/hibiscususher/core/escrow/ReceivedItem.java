package org.hibiscususher.core.escrow;

import org.hibiscususher.core.message.PeerItem;
import org.hibiscususher.core.world.MemberKey;

/**
 * An item of a message with its sender.
 *
 * @param from the process that has sent it, possibly this one
 * @param sequence number of the message that brought it; grows from message to message of a sender,
 *     so that an item older than one already applied is detected
 * @param item what the sender reports or requests
 */
record ReceivedItem(MemberKey from, long sequence, PeerItem item) {}
