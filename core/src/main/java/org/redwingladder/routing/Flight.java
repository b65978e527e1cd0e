package org.redwingladder.routing;

import java.util.ArrayList;
import java.util.List;
import org.redwingladder.limits.Admission;

/** Holds a request that was sent to a backend server and has no final answer yet. */
final class Flight {
    final SiteRequest mRequest;
    final WorkClass mWorkClass;

    /** Attempts in flight that may answer the request; probes are not among them. */
    final List<Attempt> mAttempts = new ArrayList<>(2);

    long mHedgeAtNanos;
    boolean mHedged;

    /** A hedge or a probe was sent, so that the work may have run although one attempt was shed. */
    boolean mCopied;

    boolean mDecided;

    Flight(SiteRequest request, WorkClass workClass) {
        mRequest = request;
        mWorkClass = workClass;
    }

    /** Holds one attempt at one backend server. */
    static final class Attempt {
        final long mId;
        final Flight mFlight;
        final Backend mBackend;
        final AttemptKind mKind;
        final long mSentNanos;
        final Admission.Admitted mAdmission;

        /** The answer is being streamed; its pace is the client's and says nothing. */
        boolean mStreaming;

        Attempt(
                long id,
                Flight flight,
                Backend backend,
                AttemptKind kind,
                long sentNanos,
                Admission.Admitted admission) {
            mId = id;
            mFlight = flight;
            mBackend = backend;
            mKind = kind;
            mSentNanos = sentNanos;
            mAdmission = admission;
        }
    }
}
