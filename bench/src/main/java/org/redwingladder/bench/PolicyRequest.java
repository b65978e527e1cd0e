package org.redwingladder.bench;

import org.redwingladder.routing.WorkClass;

/** Holds one request of a run and what became of it. */
final class PolicyRequest {
    final long mId;
    int mZone;
    int mHost;
    final WorkClass mWorkClass;
    final boolean mIdempotent;
    final double mWorkNanos;
    final long mSentNanos;
    final long mDeadlineNanos;
    long mAnsweredNanos = -1;

    /** One-way delay to an entry host of another region, after the client's own was lost. */
    long mDetourNanos;

    long mRefusedNanos = -1;

    /** When the work that answered began. */
    long mStartedNanos = -1;

    /** When the request came to the queue or the server that it waited at. */
    long mArrivedNanos = -1;

    PolicyRequest(
            long id,
            int zone,
            int host,
            WorkClass workClass,
            boolean idempotent,
            double workNanos,
            long sentNanos,
            long deadlineNanos) {
        mId = id;
        mZone = zone;
        mHost = host;
        mWorkClass = workClass;
        mIdempotent = idempotent;
        mWorkNanos = workNanos;
        mSentNanos = sentNanos;
        mDeadlineNanos = deadlineNanos;
    }

    boolean decided() {
        return mAnsweredNanos >= 0 || mRefusedNanos >= 0;
    }

    boolean useful() {
        return mAnsweredNanos >= 0 && mAnsweredNanos <= mDeadlineNanos;
    }

    /** Returns the latency; a request without a useful answer counts with its whole deadline. */
    long latencyNanos() {
        return useful() ? mAnsweredNanos - mSentNanos : mDeadlineNanos - mSentNanos;
    }
}
