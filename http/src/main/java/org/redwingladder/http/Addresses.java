package org.redwingladder.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Parses and formats socket addresses of the form {@code ip:port}. */
public final class Addresses {
    /** Four decimal numbers up to 255, or an IPv6 address in brackets. */
    private static final Pattern IP_LITERAL =
            Pattern.compile(
                    "((25[0-5]|2[0-4][0-9]|1?[0-9]{1,2})(\\.(?!$)|$)){4}|\\[[0-9a-fA-F:.]+]");

    /** The part of a malformed text that a message repeats. */
    private static final int MAX_QUOTED = 100;

    private Addresses() {}

    /**
     * Parses a socket address of the form {@code ip:port}; an IPv6 address is in brackets.
     *
     * @throws IllegalArgumentException if {@code text} is not a literal IP address with a port
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        // Other numeric texts would be resolved as host names, which blocks the thread.
        if (colon < 1 || !IP_LITERAL.matcher(text.substring(0, colon)).matches()) {
            throw new IllegalArgumentException("expected ip:port, found " + abbreviate(text));
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
        } catch (IllegalArgumentException | UnknownHostException e) {
            throw new IllegalArgumentException("expected ip:port, found " + abbreviate(text), e);
        }
    }

    private static String abbreviate(String text) {
        return text.length() <= MAX_QUOTED ? text : text.substring(0, MAX_QUOTED) + "...";
    }

    /** Formats {@code address} as {@code ip:port}, with an IPv6 address in brackets. */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }
}
