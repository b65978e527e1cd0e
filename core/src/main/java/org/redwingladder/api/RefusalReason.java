package org.redwingladder.api;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Why a request was refused, with the HTTP status of the response. */
public enum RefusalReason {
    BAD_REQUEST(400),
    UNKNOWN_SERVICE(404),
    BODY_TOO_LARGE(413),
    DEADLINE_EXPIRED(504),
    CAP_RATE(429),
    CAP_IN_FLIGHT(429),
    LINK_FULL(429),
    QUEUE_FULL(503),
    NO_BACKEND(503),
    NOT_OWNER(421),
    NOT_CONFIRMED(503),
    NOT_READY(503),
    STOPPING(503),
    RETRY_BUDGET(503),
    HOP_LIMIT(508),
    TOKEN_INVALID(400),
    TOKEN_EXPIRED(409),
    TOKEN_SPENT(409),
    TOKEN_FOREIGN(409),
    CLAIM_EXISTS(409),
    PLATFORM_UNAVAILABLE(503),
    BACKEND_LOST(502),
    BACKEND_BAD_ANSWER(502),
    BACKEND_SHED(503),
    PEER_LOST(502);

    private final int mStatus;
    private final String mWireName;

    RefusalReason(int status) {
        mStatus = status;
        mWireName = name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the HTTP status code of the refusal. */
    public int status() {
        return mStatus;
    }

    /** Returns the name on the wire and in metrics. */
    @JsonValue
    public String wireName() {
        return mWireName;
    }
}
