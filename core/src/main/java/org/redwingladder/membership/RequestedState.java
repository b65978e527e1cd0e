package org.redwingladder.membership;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** States what a process asks the writer of the roster for. */
public enum RequestedState {
    /** The process asks to be a serving member. */
    SERVING,
    /** The process asks to be a member that owns no site. */
    LEAVING,
    /** The process asks not to be a member. */
    GONE;

    /** Returns the name used in messages. */
    @JsonValue
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
