package org.hibiscususher.standin.capacity;

/**
 * The cost of the control code per entry, as the mean over the entries of a site.
 *
 * @param corePercent processor time of the control code, in percent of a core
 * @param bytesPerSecond bytes of messages sent to peers, per second
 * @param messagesPerSecond messages sent to peers, per second
 * @param storeCallsPerSecond calls of the store, per second; pending watches are not counted
 * @param heapBytes used heap, in bytes, beyond that before the site was created
 */
record ControlCost(
        double corePercent,
        double bytesPerSecond,
        double messagesPerSecond,
        double storeCallsPerSecond,
        double heapBytes) {}
