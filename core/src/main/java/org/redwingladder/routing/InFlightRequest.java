package org.redwingladder.routing;

import java.util.ArrayList;
import java.util.List;
import org.redwingladder.limits.Admission;

/** A request that was sent to a backend server, with its attempts in flight. */
final class InFlightRequest {
    final SiteRequest mSiteRequest;
    final WorkClass mWorkClass;

    /** Attempts in flight whose response may be delivered; excludes probes. */
    final List<Attempt> mAttempts = new ArrayList<>(2);

    long mHedgeAtNanos;
    boolean mHedgeSent;

    /** Whether a hedge or a probe was sent: the work may have run even if one attempt was shed. */
    boolean mExtraSent;

    /** Whether the final response was delivered, or the request expired or was cancelled. */
    boolean mFinished;

    InFlightRequest(SiteRequest request, WorkClass workClass) {
        mSiteRequest = request;
        mWorkClass = workClass;
    }

    /** One attempt at one backend server. */
    static final class Attempt {
        final long mId;
        final InFlightRequest mRequest;
        final Backend mBackend;
        final AttemptKind mKind;
        final long mSentNanos;
        final Admission.Admitted mAdmission;

        /** The response is being streamed, so its duration depends on the client's pace. */
        boolean mStreaming;

        Attempt(
                long id,
                InFlightRequest request,
                Backend backend,
                AttemptKind kind,
                long sentNanos,
                Admission.Admitted admission) {
            mId = id;
            mRequest = request;
            mBackend = backend;
            mKind = kind;
            mSentNanos = sentNanos;
            mAdmission = admission;
        }
    }
}
