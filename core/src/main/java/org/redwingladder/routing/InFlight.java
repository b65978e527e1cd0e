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
import org.redwingladder.routing.Flight.Attempt;

/** Follows the attempts in flight of one site: answers, hedges, probes and ejections. */
final class InFlight {
    /**
     * How long work whose connection was closed may still run and counts against the caps; as long
     * as the margin that a takeover leaves.
     */
    private static final long GIVEN_UP_NANOS = 1_000_000_000L;

    /** A backend server that takes this many times as long as its class's mean counts as slow. */
    private static final double SLOW = 3;

    /** How late a probe's answer may be, in multiples of the class's quantile. */
    private static final double PROBE_PATIENCE = 1.2;

    /** How long an ejected backend server waits for a request that may be copied as a probe. */
    private static final long PROBE_WAIT_NANOS = 2_000_000_000L;

    private final Site mSite;
    private final Map<Long, Flight> mFlights = new LinkedHashMap<>();
    private final Map<Long, Attempt> mAttempts = new LinkedHashMap<>();
    private final ClosingSlots mClosing = new ClosingSlots();
    private final int[] mByClass = new int[WorkClass.values().length];
    private long mNextAttempt = 1;

    InFlight(Site site) {
        mSite = site;
    }

    int count(WorkClass workClass) {
        return mByClass[workClass.ordinal()];
    }

    int attempts() {
        return mAttempts.size();
    }

    boolean isEmpty() {
        return mAttempts.isEmpty() && mClosing.isEmpty();
    }

    /** Sends a request that comes from the queue. */
    void send(SiteQueue.Entry entry, Backend backend, List<DispatchAction> out, long nowNanos) {
        Flight flight = new Flight(entry.request(), entry.workClass());
        mFlights.put(entry.request().id(), flight);
        HedgePolicy hedges = mSite.hedges(entry.workClass());
        flight.mHedgeAtNanos = hedges.hedgeAtNanos(mSite.times(entry.workClass()), nowNanos);
        hedges.sent();
        start(flight, backend, AttemptKind.PRIMARY, entry.admission(), out, nowNanos);
        if (entry.request().idempotent()) {
            probe(flight, out, nowNanos);
        }
    }

    private void start(
            Flight flight,
            Backend backend,
            AttemptKind kind,
            Admission.Admitted admission,
            List<DispatchAction> out,
            long nowNanos) {
        Attempt attempt = new Attempt(mNextAttempt++, flight, backend, kind, nowNanos, admission);
        mAttempts.put(attempt.mId, attempt);
        if (kind != AttemptKind.PROBE) {
            flight.mAttempts.add(attempt);
        }
        backend.mInFlight++;
        mByClass[flight.mWorkClass.ordinal()]++;
        out.add(new Send(flight.mRequest, attempt.mId, backend.mSpec.name(), kind));
    }

    /** Sends a copy of a request to one backend server whose ejection has lasted long enough. */
    private void probe(Flight flight, List<DispatchAction> out, long nowNanos) {
        HedgePolicy budget = mSite.hedges(flight.mWorkClass);
        for (Backend backend : mSite.mPool.each()) {
            boolean waits = (backend.mEjected || backend.mRefused) && !backend.mProbing;
            if (!waits || nowNanos < backend.mProbeAtNanos || backend.signedOff()) {
                continue;
            }
            Admission.@Nullable Admitted admission = pay(flight, budget, nowNanos);
            if (admission == null) {
                return;
            }
            backend.mProbing = true;
            flight.mCopied = true;
            start(flight, backend, AttemptKind.PROBE, admission, out, nowNanos);
            return;
        }
    }

    /** Takes what a further attempt costs, or returns null if the budget or a cap refuses it. */
    private Admission.@Nullable Admitted pay(Flight flight, HedgePolicy budget, long nowNanos) {
        if (!budget.canPay()) {
            return null;
        }
        Admission admission = mSite.mLimits.tryAdmit(flight.mRequest.fromZone(), nowNanos);
        if (!(admission instanceof Admission.Admitted admitted)) {
            return null;
        }
        if (!mSite.mLimits.trySend(admitted, nowNanos)) {
            mSite.mLimits.release(admitted);
            return null;
        }
        budget.pay();
        return admitted;
    }

    /** Decides a request whose answer has begun to arrive. */
    List<DispatchAction> answerBegan(long attemptId, long nowNanos) {
        List<DispatchAction> out = new ArrayList<>(2);
        Attempt attempt = mAttempts.get(attemptId);
        if (attempt != null && attempt.mKind != AttemptKind.PROBE) {
            attempt.mStreaming = true;
            decide(attempt, out, nowNanos);
        }
        return out;
    }

    /** Takes the end of an attempt in; a request to be queued again is returned in the result. */
    Ended completed(long attemptId, AttemptResult result, long nowNanos) {
        List<DispatchAction> out = new ArrayList<>(2);
        Attempt attempt = mAttempts.remove(attemptId);
        if (attempt == null) {
            return new Ended(out, null);
        }
        Flight flight = attempt.mFlight;
        flight.mAttempts.remove(attempt);
        attempt.mBackend.mInFlight--;
        mByClass[flight.mWorkClass.ordinal()]--;
        if (result == AttemptResult.CONNECTION_LOST) {
            mSite.mLimits.releaseAt(attempt.mAdmission, nowNanos + GIVEN_UP_NANOS);
        } else {
            mSite.mLimits.release(attempt.mAdmission);
        }
        judge(attempt, result, nowNanos);
        if (attempt.mKind == AttemptKind.PROBE) {
            return new Ended(out, null);
        }
        if (flight.mDecided) {
            mFlights.remove(flight.mRequest.id());
            return new Ended(out, null);
        }
        if (result == AttemptResult.ANSWERED) {
            decide(attempt, out, nowNanos);
            mFlights.remove(flight.mRequest.id());
            return new Ended(out, null);
        }
        if (!flight.mAttempts.isEmpty()) {
            return new Ended(out, null);
        }
        mFlights.remove(flight.mRequest.id());
        if (result == AttemptResult.CONNECTION_REFUSED && !flight.mCopied) {
            return new Ended(out, flight);
        }
        out.add(refusal(flight, result, nowNanos));
        return new Ended(out, null);
    }

    /**
     * Tells what follows from the end of an attempt.
     *
     * @param actions what to do
     * @param again a request that was never sent and goes back to the queue, or null
     */
    record Ended(List<DispatchAction> actions, @Nullable Flight again) {}

    private Refuse refusal(Flight flight, AttemptResult result, long nowNanos) {
        long retryAt = nowNanos + mSite.times(flight.mWorkClass).meanNanos();
        boolean neverRan =
                result == AttemptResult.SHED || result == AttemptResult.CONNECTION_REFUSED;
        RefusalReason reason = RefusalReason.BACKEND_LOST;
        if (result == AttemptResult.SHED) {
            reason = RefusalReason.BACKEND_SHED;
        } else if (result == AttemptResult.INVALID_RESPONSE) {
            reason = RefusalReason.BACKEND_BAD_ANSWER;
        }
        // A hedge or a probe may have run the work, whatever this attempt says.
        Outcome outcome = neverRan && !flight.mCopied ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        return new Refuse(flight.mRequest, reason, outcome, retryAt);
    }

    private void judge(Attempt attempt, AttemptResult result, long nowNanos) {
        Backend backend = attempt.mBackend;
        Flight flight = attempt.mFlight;
        long nanos = nowNanos - attempt.mSentNanos;
        TimeDigest times = mSite.times(flight.mWorkClass);
        if (attempt.mKind == AttemptKind.PROBE) {
            boolean inTime = nanos <= PROBE_PATIENCE * times.quantileNanos();
            endProbe(backend, result == AttemptResult.ANSWERED && inTime, nowNanos);
            if (result == AttemptResult.CONNECTION_REFUSED) {
                refused(backend, nowNanos);
            }
            return;
        }
        switch (result) {
            case ANSWERED -> {
                if (!attempt.mStreaming) {
                    backend.timed((double) nanos / times.meanNanos());
                    OutlierDetector.finished(backend, nanos, times);
                }
                times.record(nanos);
                mSite.mLearner.learn(flight.mRequest, nanos);
            }
            case SHED -> backend.mSlotLimit = Math.max(1, backend.mInFlight);
            case CONNECTION_REFUSED -> refused(backend, nowNanos);
            default -> mSite.mDetector.broken(backend);
        }
    }

    private void refused(Backend backend, long nowNanos) {
        backend.mRefused = true;
        backend.mProbing = false;
        backend.mProbeAtNanos = nowNanos + mSite.mTuning.baseEjectionNanos();
    }

    private void endProbe(Backend backend, boolean good, long nowNanos) {
        backend.mProbing = false;
        if (good) {
            backend.mRefused = false;
            mSite.mDetector.recovered(backend);
        } else {
            mSite.mDetector.stillSlow(backend, nowNanos);
        }
    }

    private void decide(Attempt winner, List<DispatchAction> out, long nowNanos) {
        Flight flight = winner.mFlight;
        if (flight.mDecided) {
            return;
        }
        flight.mDecided = true;
        out.add(new Deliver(flight.mRequest, winner.mId));
        for (Attempt loser : List.copyOf(flight.mAttempts)) {
            if (loser != winner) {
                giveUp(loser, out, nowNanos);
            }
        }
    }

    /** Cancels an attempt; its slot is free once the backend server has seen the close. */
    private void giveUp(Attempt attempt, List<DispatchAction> out, long nowNanos) {
        Flight flight = attempt.mFlight;
        mAttempts.remove(attempt.mId);
        flight.mAttempts.remove(attempt);
        long age = nowNanos - attempt.mSentNanos;
        if (!attempt.mStreaming) {
            OutlierDetector.givenUp(attempt.mBackend, age, mSite.times(flight.mWorkClass));
        }
        mSite.mLimits.releaseAt(attempt.mAdmission, nowNanos + GIVEN_UP_NANOS);
        mClosing.add(attempt.mBackend, flight.mWorkClass, nowNanos);
        out.add(new Cancel(attempt.mId, attempt.mBackend.mSpec.name()));
    }

    /** Gives a request up because its client has gone; returns false if it is not in flight. */
    boolean cancelled(long requestId, List<DispatchAction> out, long nowNanos) {
        Flight flight = mFlights.remove(requestId);
        if (flight == null) {
            return false;
        }
        flight.mDecided = true;
        List.copyOf(flight.mAttempts).forEach(attempt -> giveUp(attempt, out, nowNanos));
        return true;
    }

    /** Does what is due: slots that became free, expired requests, hedges, probes, ejections. */
    void tick(List<DispatchAction> out, long nowNanos) {
        mClosing.free(
                nowNanos,
                (backend, workClass) -> {
                    backend.mInFlight--;
                    mByClass[workClass.ordinal()]--;
                });
        for (Flight flight : List.copyOf(mFlights.values())) {
            if (flight.mDecided) {
                continue;
            }
            if (flight.mRequest.deadlineNanos() <= nowNanos) {
                mFlights.remove(flight.mRequest.id());
                flight.mDecided = true;
                List.copyOf(flight.mAttempts).forEach(a -> giveUp(a, out, nowNanos));
                out.add(
                        new Refuse(
                                flight.mRequest,
                                RefusalReason.DEADLINE_EXPIRED,
                                Outcome.UNKNOWN,
                                0));
            }
        }
        hedge(out, nowNanos);
        endLateProbes(out, nowNanos);
        AgeWatch.ejectOutliers(mSite, mAttempts.values(), nowNanos);
    }

    /**
     * Hedges what is due at backend servers that have turned slow. These requests come before the
     * queue: they are older, and unlike others that take long they gain from a second attempt.
     */
    void rescue(List<DispatchAction> out, long nowNanos) {
        for (Flight flight : mFlights.values()) {
            if (due(flight, nowNanos) && isSlow(flight.mAttempts.get(0).mBackend)) {
                hedge(flight, out, nowNanos);
            }
        }
    }

    private static boolean isSlow(Backend backend) {
        return backend.mEjected || backend.slowness() >= SLOW;
    }

    private void hedge(List<DispatchAction> out, long nowNanos) {
        for (Flight flight : mFlights.values()) {
            if (due(flight, nowNanos)) {
                hedge(flight, out, nowNanos);
            }
        }
    }

    private static boolean due(Flight flight, long nowNanos) {
        return !flight.mDecided
                && !flight.mHedged
                && flight.mHedgeAtNanos <= nowNanos
                && flight.mAttempts.size() == 1;
    }

    private void hedge(Flight flight, List<DispatchAction> out, long nowNanos) {
        if (!flight.mRequest.idempotent()) {
            return;
        }
        boolean noRoom =
                flight.mWorkClass == WorkClass.LONG
                        && count(WorkClass.LONG) >= mSite.longLimit(nowNanos);
        Backend backend = mSite.mChooser.choose(flight.mAttempts.get(0).mBackend, nowNanos);
        if (noRoom || backend == null) {
            return;
        }
        Admission.@Nullable Admitted admission =
                pay(flight, mSite.hedges(flight.mWorkClass), nowNanos);
        if (admission != null) {
            flight.mHedged = true;
            flight.mCopied = true;
            start(flight, backend, AttemptKind.HEDGE, admission, out, nowNanos);
        }
    }

    private void endLateProbes(List<DispatchAction> out, long nowNanos) {
        for (Backend backend : mSite.mPool.each()) {
            if (backend.returnsAtNanos(PROBE_WAIT_NANOS) <= nowNanos) {
                // No request could be copied: the next one that fits goes there itself.
                backend.mRefused = false;
                mSite.mDetector.recovered(backend);
            }
        }
        List<Attempt> late = new ArrayList<>();
        for (Attempt attempt : mAttempts.values()) {
            long patience =
                    (long)
                            (PROBE_PATIENCE
                                    * mSite.times(attempt.mFlight.mWorkClass).quantileNanos());
            if (attempt.mKind == AttemptKind.PROBE && nowNanos - attempt.mSentNanos > patience) {
                late.add(attempt);
            }
        }
        for (Attempt attempt : late) {
            giveUp(attempt, out, nowNanos);
            endProbe(attempt.mBackend, false, nowNanos);
        }
    }

    /** Returns when the next hedge, freed slot or returning backend server is due. */
    long wakeAtNanos() {
        long at = mClosing.nextFreeNanos();
        for (Backend backend : mSite.mPool.each()) {
            at = Math.min(at, backend.returnsAtNanos(PROBE_WAIT_NANOS));
        }
        for (Flight flight : mFlights.values()) {
            if (!flight.mDecided) {
                at = Math.min(at, flight.mRequest.deadlineNanos());
                if (!flight.mHedged && flight.mRequest.idempotent()) {
                    at = Math.min(at, flight.mHedgeAtNanos);
                }
            }
        }
        return at;
    }
}
