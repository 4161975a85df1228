package org.hibiscususher.wire.http;

import java.net.InetSocketAddress;

/** Parses addresses of IP numbers and ports. */
public final class Addresses {
    private Addresses() {}

    /** Returns the socket address for an IP number and port such as {@code 192.0.2.1:80}. */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        String ip = address.substring(0, colon).replace("[", "").replace("]", "");
        return new InetSocketAddress(ip, Integer.parseInt(address.substring(colon + 1)));
    }
}
