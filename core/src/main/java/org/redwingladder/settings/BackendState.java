package org.redwingladder.settings;

import com.fasterxml.jackson.annotation.JsonValue;

/** Whether the settings allow new requests to a backend server. */
public enum BackendState {
    SERVING("serving"),
    DRAINING("draining");

    private final String mWireName;

    BackendState(String wireName) {
        mWireName = wireName;
    }

    /** Returns the name used in the settings document. */
    @JsonValue
    public String wireName() {
        return mWireName;
    }
}
