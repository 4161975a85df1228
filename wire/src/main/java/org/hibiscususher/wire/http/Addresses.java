package org.hibiscususher.wire.http;

import java.net.InetSocketAddress;

/** Parses socket addresses. */
public final class Addresses {
    private Addresses() {}

    /**
     * Returns the socket address for text such as {@code 192.0.2.1:80} or {@code [2001:db8::1]:80}.
     *
     * @param address IP number and port. A host name would be resolved, which blocks the thread.
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        String ip = address.substring(0, colon).replace("[", "").replace("]", "");
        return new InetSocketAddress(ip, Integer.parseInt(address.substring(colon + 1)));
    }
}
