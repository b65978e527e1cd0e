package org.redwingladder.emulator;

/** Holds a request of a client, over all of its tries. */
final class EmulatedRequest {
    private final EmulatedSite.Kind mKind;
    private final String mZone;
    private final String mObject;
    private final double mWorkNanos;
    private final long mSentNanos;
    private int mTries;
    private boolean mEnded;

    EmulatedRequest(
            EmulatedSite.Kind kind, String zone, String object, double workNanos, long sentNanos) {
        mKind = kind;
        mZone = zone;
        mObject = object;
        mWorkNanos = workNanos;
        mSentNanos = sentNanos;
    }

    EmulatedSite.Kind kind() {
        return mKind;
    }

    String zone() {
        return mZone;
    }

    String object() {
        return mObject;
    }

    double workNanos() {
        return mWorkNanos;
    }

    long sentNanos() {
        return mSentNanos;
    }

    /** Returns the instant at which the client gives up. */
    long untilNanos() {
        return mSentNanos + mKind.deadlineMillis() * 1_000_000L;
    }

    int tries() {
        return mTries;
    }

    void tried() {
        mTries++;
    }

    /** Ends the request; false if it has ended before. */
    boolean end() {
        boolean first = !mEnded;
        mEnded = true;
        return first;
    }

    boolean ended() {
        return mEnded;
    }
}
