package org.hibiscususher.standin.capacity;

/**
 * What control costs one entry, as the mean over the entries of a site.
 *
 * @param corePercent processor time of the decisions, in percent of a core
 * @param bytesPerSecond bytes of messages sent to peers, a second
 * @param messagesPerSecond messages sent to peers, a second
 * @param storeCallsPerSecond calls of the store, a second, waiting watches not counted
 * @param heapBytes heap that the entry's tables take, in bytes
 */
record Cost(
        double corePercent,
        double bytesPerSecond,
        double messagesPerSecond,
        double storeCallsPerSecond,
        double heapBytes) {}
