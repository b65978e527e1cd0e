package org.redwingladder.entry;

import static java.nio.charset.StandardCharsets.UTF_8;

import org.redwingladder.steering.ServerRegistration;

/** Creates and decodes rows that contain only the state of a backend server. */
final class TestRowDecoder implements RowDecoder {
    private static final String DRAINING = "draining";
    private static final String THROWING = "throwing";
    private static final String OVERFLOWING = "overflowing";

    static StoreRow ready(String key, long version) {
        return new StoreRow(key, version, "ready".getBytes(UTF_8));
    }

    static StoreRow draining(String key, long version) {
        return new StoreRow(key, version, DRAINING.getBytes(UTF_8));
    }

    /** Returns a row at which the decoder throws an exception that it does not declare. */
    static StoreRow throwing(String key, long version) {
        return new StoreRow(key, version, THROWING.getBytes(UTF_8));
    }

    /** Returns a row at which the decoder overflows the stack. */
    static StoreRow overflowing(String key, long version) {
        return new StoreRow(key, version, OVERFLOWING.getBytes(UTF_8));
    }

    static StoreRow removed(String key, long version) {
        return new StoreRow(key, version, null);
    }

    @Override
    public ControlRow decodeControlRow(String key, byte[] value) {
        return new ControlRow.Other();
    }

    @Override
    public ServerRegistration decodeServer(String key, byte[] value, long nowNanos) {
        String text = new String(value, UTF_8);
        if (text.equals(THROWING)) {
            throw new ClassCastException("odd row");
        }
        if (text.equals(OVERFLOWING)) {
            throw new StackOverflowError();
        }
        boolean draining = text.equals(DRAINING);
        return new ServerRegistration(key, "a", "10.0.0.1:80", "z1", 4, draining, 1, 0);
    }
}
