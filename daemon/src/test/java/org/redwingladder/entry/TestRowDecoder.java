package org.redwingladder.entry;

import static java.nio.charset.StandardCharsets.UTF_8;

import org.redwingladder.steering.ServerRegistration;

/** Creates and decodes rows that contain only the state of a backend server. */
final class TestRowDecoder implements RowDecoder {
    private static final String DRAINING = "draining";

    static StoreRow ready(String key, long version) {
        return new StoreRow(key, version, "ready".getBytes(UTF_8));
    }

    static StoreRow draining(String key, long version) {
        return new StoreRow(key, version, DRAINING.getBytes(UTF_8));
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
        boolean draining = new String(value, UTF_8).equals(DRAINING);
        return new ServerRegistration(key, "a", "10.0.0.1:80", "z1", 4, draining, 1, 0);
    }
}
