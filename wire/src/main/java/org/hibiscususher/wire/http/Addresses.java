package org.hibiscususher.wire.http;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses socket addresses. */
public final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Returns the socket address for text such as {@code 192.0.2.1:80} or {@code [2001:db8::1]:80}.
     *
     * @param address IP number and port. A host name is rejected: to resolve it would block the
     *     thread.
     * @throws IllegalArgumentException if the text is not an IP number and a port from 0 to 65535
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("address without a port");
        }
        int port = parsePort(address.substring(colon + 1));
        return new InetSocketAddress(parseIp(address.substring(0, colon)), port);
    }

    private static int parsePort(String text) {
        boolean digits = !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!digits || text.length() > Integer.toString(MAX_PORT).length()) {
            throw new IllegalArgumentException("port is not a number from 0 to " + MAX_PORT);
        }
        int port = Integer.parseInt(text);
        if (port > MAX_PORT) {
            throw new IllegalArgumentException("port is not a number from 0 to " + MAX_PORT);
        }
        return port;
    }

    private static InetAddress parseIp(String text) {
        boolean bracketed = text.startsWith("[") && text.endsWith("]");
        String ip = bracketed ? text.substring(1, text.length() - 1) : text;
        if (!NetUtil.isValidIpV6Address(ip) && (bracketed || !NetUtil.isValidIpV4Address(ip))) {
            throw new IllegalArgumentException("address without an IP number");
        }
        try {
            return InetAddress.getByName(ip);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("address without an IP number of this host", e);
        }
    }
}
