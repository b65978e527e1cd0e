package org.redwingladder.settings;

import com.fasterxml.jackson.annotation.JsonValue;

/** Tells short work from long work, which must not hold up the former. */
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
