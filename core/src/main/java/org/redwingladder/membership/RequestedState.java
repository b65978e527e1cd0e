package org.redwingladder.membership;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** The membership state that a process requests. */
public enum RequestedState {
    /** A member that may own sites. */
    SERVING,
    /** A draining member, which owns no site. */
    LEAVING,
    /** No member. */
    GONE;

    /** Returns the name used in messages. */
    @JsonValue
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
