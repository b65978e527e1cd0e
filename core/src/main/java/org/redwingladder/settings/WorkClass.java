package org.redwingladder.settings;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The class of a request's work. Separating long work prevents head-of-line blocking of short work.
 */
public enum WorkClass {
    SHORT("short"),
    LONG("long");

    private final String mWireName;

    WorkClass(String wireName) {
        mWireName = wireName;
    }

    /** Returns the name used in the settings document. */
    @JsonValue
    public String wireName() {
        return mWireName;
    }
}
