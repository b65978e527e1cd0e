package org.redwingladder.api;

import com.fasterxml.jackson.annotation.JsonValue;

/** Whether the work of a refused request may have run. */
public enum Outcome {
    /** The work certainly did not run and will not run. */
    NOT_RUN("not-run"),
    /** The work may have run, may be running or may still run. */
    UNKNOWN("unknown");

    private final String mWireName;

    Outcome(String wireName) {
        mWireName = wireName;
    }

    /** Returns the name on the wire. */
    @JsonValue
    public String wireName() {
        return mWireName;
    }
}
