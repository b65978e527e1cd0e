package org.redwingladder.standin;

import java.util.EnumMap;
import java.util.Map;

/** Counts down the faults that affect a number of requests. */
final class FaultCounts {
    private final Map<Kind, Integer> mLeft = new EnumMap<>(Kind.class);

    /** Names the faults that are counted. */
    enum Kind {
        TRUNCATE,
        WRONG_LENGTH,
        DUPLICATE,
        CROSS,
        LATE,
        SHED
    }

    synchronized void set(BackendFaults faults) {
        mLeft.put(Kind.TRUNCATE, faults.truncateBody());
        mLeft.put(Kind.WRONG_LENGTH, faults.wrongLength());
        mLeft.put(Kind.DUPLICATE, faults.duplicateAnswer());
        mLeft.put(Kind.CROSS, faults.crossAnswer());
        mLeft.put(Kind.LATE, faults.lateAnswer());
        mLeft.put(Kind.SHED, faults.shed());
    }

    /** Returns whether the fault affects this request, and counts it. */
    synchronized boolean take(Kind kind) {
        int left = mLeft.getOrDefault(kind, 0);
        if (left > 0) {
            mLeft.put(kind, left - 1);
        }
        return left != 0;
    }

    /** Returns how to send this answer. */
    AnswerSender.Manner takeManner() {
        if (take(Kind.TRUNCATE)) {
            return AnswerSender.Manner.TRUNCATED;
        } else if (take(Kind.WRONG_LENGTH)) {
            return AnswerSender.Manner.WRONG_LENGTH;
        } else if (take(Kind.DUPLICATE)) {
            return AnswerSender.Manner.TWICE;
        }
        return AnswerSender.Manner.WHOLE;
    }
}
