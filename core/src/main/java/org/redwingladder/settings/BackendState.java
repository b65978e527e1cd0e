package org.redwingladder.settings;

import com.fasterxml.jackson.annotation.JsonValue;

/** States whether the settings let a backend server receive new work. */
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
