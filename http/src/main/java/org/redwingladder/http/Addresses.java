package org.redwingladder.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Converts addresses written as {@code ip:port}. */
public final class Addresses {
    private Addresses() {}

    /**
     * Returns the socket address written as {@code ip:port}.
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

    /** Returns {@code address} written as {@code ip:port}. */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }
}
