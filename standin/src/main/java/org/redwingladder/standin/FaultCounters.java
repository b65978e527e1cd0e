package org.redwingladder.standin;

import java.util.EnumMap;
import java.util.Map;

/** Counts down the faults that apply to a limited number of requests. */
final class FaultCounters {
    private final Map<Kind, Integer> mRemaining = new EnumMap<>(Kind.class);

    /** The faults that are counted. */
    enum Kind {
        TRUNCATE,
        WRONG_LENGTH,
        DUPLICATE,
        INVALID,
        CROSS,
        LATE,
        SHED
    }

    synchronized void reset(BackendFaults faults) {
        mRemaining.put(Kind.TRUNCATE, faults.truncateBody());
        mRemaining.put(Kind.WRONG_LENGTH, faults.wrongLength());
        mRemaining.put(Kind.DUPLICATE, faults.duplicateAnswer());
        mRemaining.put(Kind.INVALID, faults.invalidAnswer());
        mRemaining.put(Kind.CROSS, faults.crossAnswer());
        mRemaining.put(Kind.LATE, faults.lateAnswer());
        mRemaining.put(Kind.SHED, faults.shed());
    }

    /** Returns whether the fault applies to this request, and decrements its counter. */
    synchronized boolean tryConsume(Kind kind) {
        int remaining = mRemaining.getOrDefault(kind, 0);
        if (remaining > 0) {
            mRemaining.put(kind, remaining - 1);
        }
        return remaining != 0;
    }

    /** Returns how to send this response, and decrements the counter of the fault that applies. */
    ResponseSender.Mode consumeMode() {
        if (tryConsume(Kind.TRUNCATE)) {
            return ResponseSender.Mode.TRUNCATED;
        } else if (tryConsume(Kind.WRONG_LENGTH)) {
            return ResponseSender.Mode.WRONG_LENGTH;
        } else if (tryConsume(Kind.DUPLICATE)) {
            return ResponseSender.Mode.DUPLICATED;
        } else if (tryConsume(Kind.INVALID)) {
            return ResponseSender.Mode.INVALID;
        }
        return ResponseSender.Mode.COMPLETE;
    }
}
