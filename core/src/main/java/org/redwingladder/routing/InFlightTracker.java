package org.redwingladder.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.limits.Admission;
import org.redwingladder.routing.DispatchAction.Cancel;
import org.redwingladder.routing.DispatchAction.Deliver;
import org.redwingladder.routing.DispatchAction.Refuse;
import org.redwingladder.routing.DispatchAction.Send;
import org.redwingladder.routing.InFlightRequest.Attempt;

/** Tracks the attempts in flight of one site: responses, hedges, probes and ejections. */
final class InFlightTracker {
    /**
     * How long work whose connection was closed may still run, so that it counts against the caps.
     * Equal to the margin that a takeover of the site allows for.
     */
    private static final long ORPHANED_WORK_NANOS = 1_000_000_000L;

    /** Slowdown, in multiples of the class's mean, from which a backend server counts as slow. */
    private static final double SLOW_FACTOR = 3;

    /** Probe timeout, in multiples of the class's service time quantile. */
    private static final double PROBE_TIMEOUT_FACTOR = 1.2;

    /** How long a due probe may wait for a request to copy; then the server is readmitted. */
    private static final long MAX_PROBE_WAIT_NANOS = 2_000_000_000L;

    private final SiteContext mSite;
    private final Map<Long, InFlightRequest> mRequests = new LinkedHashMap<>();
    private final Map<Long, Attempt> mAttempts = new LinkedHashMap<>();
    private final DelayedSlotReleases mSlotReleases = new DelayedSlotReleases();
    private final int[] mAttemptsByClass = new int[WorkClass.values().length];
    private long mNextAttempt = 1;

    InFlightTracker(SiteContext site) {
        mSite = site;
    }

    int count(WorkClass workClass) {
        return mAttemptsByClass[workClass.ordinal()];
    }

    int attemptCount() {
        return mAttempts.size();
    }

    boolean isEmpty() {
        return mAttempts.isEmpty() && mSlotReleases.isEmpty();
    }

    /** Sends a request taken from the queue to {@code backend}, and probes with a copy if due. */
    void send(DeadlineQueue.Entry entry, Backend backend, List<DispatchAction> out, long nowNanos) {
        InFlightRequest request = new InFlightRequest(entry.request(), entry.workClass());
        mRequests.put(entry.request().id(), request);
        HedgePolicy policy = mSite.hedgePolicy(entry.workClass());
        request.mHedgeAtNanos = policy.hedgeAtNanos(mSite.times(entry.workClass()), nowNanos);
        policy.recordRequest();
        startAttempt(request, backend, AttemptKind.PRIMARY, entry.admission(), out, nowNanos);
        if (entry.request().idempotent()) {
            probe(request, out, nowNanos);
        }
    }

    private void startAttempt(
            InFlightRequest request,
            Backend backend,
            AttemptKind kind,
            Admission.Admitted admission,
            List<DispatchAction> out,
            long nowNanos) {
        Attempt attempt = new Attempt(mNextAttempt++, request, backend, kind, nowNanos, admission);
        mAttempts.put(attempt.mId, attempt);
        if (kind != AttemptKind.PROBE) {
            request.mAttempts.add(attempt);
        }
        backend.mInFlight++;
        mAttemptsByClass[request.mWorkClass.ordinal()]++;
        out.add(new Send(request.mSiteRequest, attempt.mId, backend.mSpec.name(), kind));
    }

    /** Probes at most one ejected or refusing backend server whose probe is due with a copy. */
    private void probe(InFlightRequest request, List<DispatchAction> out, long nowNanos) {
        HedgePolicy budget = mSite.hedgePolicy(request.mWorkClass);
        for (Backend backend : mSite.mPool.backends()) {
            boolean waits = (backend.mEjected || backend.mConnectionRefused) && !backend.mProbing;
            if (!waits || nowNanos < backend.mProbeAtNanos || backend.draining()) {
                continue;
            }
            Admission.@Nullable Admitted admission = admitExtraAttempt(request, budget, nowNanos);
            if (admission == null) {
                return;
            }
            backend.mProbing = true;
            request.mExtraSent = true;
            startAttempt(request, backend, AttemptKind.PROBE, admission, out, nowNanos);
            return;
        }
    }

    /** Takes a budget token and cap places for an extra attempt; null if either is exhausted. */
    private Admission.@Nullable Admitted admitExtraAttempt(
            InFlightRequest request, HedgePolicy budget, long nowNanos) {
        if (!budget.hasToken()) {
            return null;
        }
        Admission admission = mSite.mLimits.tryAdmit(request.mSiteRequest.fromZone(), nowNanos);
        if (!(admission instanceof Admission.Admitted admitted)) {
            return null;
        }
        if (!mSite.mLimits.trySend(admitted, nowNanos)) {
            mSite.mLimits.release(admitted);
            return null;
        }
        budget.takeToken();
        return admitted;
    }

    /** Delivers the response that has begun to arrive and cancels the request's other attempts. */
    List<DispatchAction> responseStarted(long attemptId, long nowNanos) {
        List<DispatchAction> out = new ArrayList<>(2);
        Attempt attempt = mAttempts.get(attemptId);
        if (attempt != null && attempt.mKind != AttemptKind.PROBE) {
            attempt.mStreaming = true;
            deliver(attempt, out, nowNanos);
        }
        return out;
    }

    /** Processes the end of an attempt; has no effect if the attempt was cancelled before. */
    AttemptEnd attemptEnded(long attemptId, AttemptResult result, long nowNanos) {
        List<DispatchAction> out = new ArrayList<>(2);
        Attempt attempt = mAttempts.remove(attemptId);
        if (attempt == null) {
            return new AttemptEnd(out, null);
        }
        InFlightRequest request = attempt.mRequest;
        request.mAttempts.remove(attempt);
        attempt.mBackend.mInFlight--;
        mAttemptsByClass[request.mWorkClass.ordinal()]--;
        if (result == AttemptResult.CONNECTION_LOST) {
            mSite.mLimits.releaseAt(attempt.mAdmission, nowNanos + ORPHANED_WORK_NANOS);
        } else {
            mSite.mLimits.release(attempt.mAdmission);
        }
        recordResult(attempt, result, nowNanos);
        if (attempt.mKind == AttemptKind.PROBE) {
            return new AttemptEnd(out, null);
        }
        if (request.mFinished) {
            mRequests.remove(request.mSiteRequest.id());
            return new AttemptEnd(out, null);
        }
        if (result == AttemptResult.ANSWERED) {
            deliver(attempt, out, nowNanos);
            mRequests.remove(request.mSiteRequest.id());
            return new AttemptEnd(out, null);
        }
        if (!request.mAttempts.isEmpty()) {
            return new AttemptEnd(out, null);
        }
        mRequests.remove(request.mSiteRequest.id());
        if (result == AttemptResult.CONNECTION_REFUSED && !request.mExtraSent) {
            return new AttemptEnd(out, request);
        }
        out.add(refusal(request, result, nowNanos));
        return new AttemptEnd(out, null);
    }

    /**
     * The consequences of the end of an attempt.
     *
     * @param actions the actions to carry out
     * @param requeued a request that was never sent and returns to the queue, or null
     */
    record AttemptEnd(List<DispatchAction> actions, @Nullable InFlightRequest requeued) {}

    private Refuse refusal(InFlightRequest request, AttemptResult result, long nowNanos) {
        long retryAt = nowNanos + mSite.times(request.mWorkClass).meanNanos();
        boolean notRun = result == AttemptResult.SHED || result == AttemptResult.CONNECTION_REFUSED;
        RefusalReason reason = RefusalReason.BACKEND_LOST;
        if (result == AttemptResult.SHED) {
            reason = RefusalReason.BACKEND_SHED;
        } else if (result == AttemptResult.INVALID_RESPONSE) {
            reason = RefusalReason.BACKEND_BAD_ANSWER;
        }
        // A hedge or a probe may have run the work, whatever the result of this attempt.
        Outcome outcome = notRun && !request.mExtraSent ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        return new Refuse(request.mSiteRequest, reason, outcome, retryAt);
    }

    private void recordResult(Attempt attempt, AttemptResult result, long nowNanos) {
        Backend backend = attempt.mBackend;
        InFlightRequest request = attempt.mRequest;
        long nanos = nowNanos - attempt.mSentNanos;
        ServiceTimeHistogram times = mSite.times(request.mWorkClass);
        if (attempt.mKind == AttemptKind.PROBE) {
            boolean inTime = nanos <= PROBE_TIMEOUT_FACTOR * times.quantileNanos();
            probeEnded(backend, result == AttemptResult.ANSWERED && inTime, nowNanos);
            if (result == AttemptResult.CONNECTION_REFUSED) {
                connectionRefused(backend, nowNanos);
            }
            return;
        }
        switch (result) {
            case ANSWERED -> {
                if (!attempt.mStreaming) {
                    backend.recordRelativeTime((double) nanos / times.meanNanos());
                    OutlierDetector.recordResponse(backend, nanos, times);
                }
                times.record(nanos);
                mSite.mClassifier.recordServiceTime(request.mSiteRequest, nanos);
            }
            case SHED -> backend.mSlotLimit = Math.max(1, backend.mInFlight);
            case CONNECTION_REFUSED -> connectionRefused(backend, nowNanos);
            default -> mSite.mOutlierDetector.recordFailure(backend);
        }
    }

    private void connectionRefused(Backend backend, long nowNanos) {
        backend.mConnectionRefused = true;
        backend.mProbing = false;
        backend.mProbeAtNanos = nowNanos + mSite.mTuning.baseEjectionNanos();
    }

    private void probeEnded(Backend backend, boolean good, long nowNanos) {
        backend.mProbing = false;
        if (good) {
            backend.mConnectionRefused = false;
            mSite.mOutlierDetector.endEjection(backend);
        } else {
            mSite.mOutlierDetector.extendEjection(backend, nowNanos);
        }
    }

    private void deliver(Attempt winner, List<DispatchAction> out, long nowNanos) {
        InFlightRequest request = winner.mRequest;
        if (request.mFinished) {
            return;
        }
        request.mFinished = true;
        out.add(new Deliver(request.mSiteRequest, winner.mId));
        for (Attempt loser : List.copyOf(request.mAttempts)) {
            if (loser != winner) {
                cancel(loser, out, nowNanos);
            }
        }
    }

    /** Cancels an attempt. Its slot is released once the backend server has noticed the close. */
    private void cancel(Attempt attempt, List<DispatchAction> out, long nowNanos) {
        InFlightRequest request = attempt.mRequest;
        mAttempts.remove(attempt.mId);
        request.mAttempts.remove(attempt);
        long age = nowNanos - attempt.mSentNanos;
        if (!attempt.mStreaming) {
            OutlierDetector.recordCancelled(attempt.mBackend, age, mSite.times(request.mWorkClass));
        }
        mSite.mLimits.releaseAt(attempt.mAdmission, nowNanos + ORPHANED_WORK_NANOS);
        mSlotReleases.schedule(attempt.mBackend, request.mWorkClass, nowNanos);
        out.add(new Cancel(attempt.mId, attempt.mBackend.mSpec.name()));
    }

    /** Cancels a request whose client has disconnected; returns false if it is not in flight. */
    boolean requestCancelled(long requestId, List<DispatchAction> out, long nowNanos) {
        InFlightRequest request = mRequests.remove(requestId);
        if (request == null) {
            return false;
        }
        request.mFinished = true;
        List.copyOf(request.mAttempts).forEach(attempt -> cancel(attempt, out, nowNanos));
        return true;
    }

    /** Runs the timers that are due: slot releases, expiry, hedges, probe timeouts, ejections. */
    void tick(List<DispatchAction> out, long nowNanos) {
        mSlotReleases.releaseDue(
                nowNanos,
                (backend, workClass) -> {
                    backend.mInFlight--;
                    mAttemptsByClass[workClass.ordinal()]--;
                });
        for (InFlightRequest request : List.copyOf(mRequests.values())) {
            if (request.mFinished) {
                continue;
            }
            if (request.mSiteRequest.deadlineNanos() <= nowNanos) {
                mRequests.remove(request.mSiteRequest.id());
                request.mFinished = true;
                List.copyOf(request.mAttempts).forEach(a -> cancel(a, out, nowNanos));
                out.add(
                        new Refuse(
                                request.mSiteRequest,
                                RefusalReason.DEADLINE_EXPIRED,
                                Outcome.UNKNOWN,
                                0));
            }
        }
        hedge(out, nowNanos);
        expireProbes(out, nowNanos);
        InFlightAgeStats.ejectOutliers(mSite, mAttempts.values(), nowNanos);
    }

    /**
     * Hedges the due requests at slow backend servers ahead of the queue: they are older, and
     * unlike requests whose own work takes long they gain from a second attempt.
     */
    void hedgeSlowBackends(List<DispatchAction> out, long nowNanos) {
        for (InFlightRequest request : mRequests.values()) {
            if (hedgeDue(request, nowNanos) && isSlow(request.mAttempts.get(0).mBackend)) {
                hedge(request, out, nowNanos);
            }
        }
    }

    private static boolean isSlow(Backend backend) {
        return backend.mEjected || backend.slowdown() >= SLOW_FACTOR;
    }

    private void hedge(List<DispatchAction> out, long nowNanos) {
        for (InFlightRequest request : mRequests.values()) {
            if (hedgeDue(request, nowNanos)) {
                hedge(request, out, nowNanos);
            }
        }
    }

    private static boolean hedgeDue(InFlightRequest request, long nowNanos) {
        return !request.mFinished
                && !request.mHedgeSent
                && request.mHedgeAtNanos <= nowNanos
                && request.mAttempts.size() == 1;
    }

    private void hedge(InFlightRequest request, List<DispatchAction> out, long nowNanos) {
        if (!request.mSiteRequest.idempotent()) {
            return;
        }
        boolean atLongLimit =
                request.mWorkClass == WorkClass.LONG
                        && count(WorkClass.LONG) >= mSite.longLimit(nowNanos);
        Backend backend = mSite.mLoadBalancer.choose(request.mAttempts.get(0).mBackend, nowNanos);
        if (atLongLimit || backend == null) {
            return;
        }
        Admission.@Nullable Admitted admission =
                admitExtraAttempt(request, mSite.hedgePolicy(request.mWorkClass), nowNanos);
        if (admission != null) {
            request.mHedgeSent = true;
            request.mExtraSent = true;
            startAttempt(request, backend, AttemptKind.HEDGE, admission, out, nowNanos);
        }
    }

    private void expireProbes(List<DispatchAction> out, long nowNanos) {
        for (Backend backend : mSite.mPool.backends()) {
            if (backend.readmitAtNanos(MAX_PROBE_WAIT_NANOS) <= nowNanos) {
                // No request could be copied as a probe, so the server is readmitted without one.
                backend.mConnectionRefused = false;
                mSite.mOutlierDetector.endEjection(backend);
            }
        }
        List<Attempt> late = new ArrayList<>();
        for (Attempt attempt : mAttempts.values()) {
            long timeout =
                    (long)
                            (PROBE_TIMEOUT_FACTOR
                                    * mSite.times(attempt.mRequest.mWorkClass).quantileNanos());
            if (attempt.mKind == AttemptKind.PROBE && nowNanos - attempt.mSentNanos > timeout) {
                late.add(attempt);
            }
        }
        for (Attempt attempt : late) {
            cancel(attempt, out, nowNanos);
            probeEnded(attempt.mBackend, false, nowNanos);
        }
    }

    /** Returns when the next hedge, expiry, slot release or readmission is due. */
    long nextTickNanos() {
        long at = mSlotReleases.nextReleaseNanos();
        for (Backend backend : mSite.mPool.backends()) {
            at = Math.min(at, backend.readmitAtNanos(MAX_PROBE_WAIT_NANOS));
        }
        for (InFlightRequest request : mRequests.values()) {
            if (!request.mFinished) {
                at = Math.min(at, request.mSiteRequest.deadlineNanos());
                if (!request.mHedgeSent && request.mSiteRequest.idempotent()) {
                    at = Math.min(at, request.mHedgeAtNanos);
                }
            }
        }
        return at;
    }
}
