package org.redwingladder.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats socket addresses of the form {@code ip:port}. */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses a socket address of the form {@code ip:port}; an IPv6 address is in brackets.
     *
     * @throws IllegalArgumentException if {@code text} is not a literal IP address with a port
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            throw new IllegalArgumentException("expected ip:port, found " + text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException("expected ip:port, found " + text, e);
        }
    }

    /** Formats {@code address} as {@code ip:port}, with an IPv6 address in brackets. */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }
}
