package org.redwingladder.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.limits.Admission;
import org.redwingladder.limits.SiteLimits;
import org.redwingladder.routing.DispatchAction.Refuse;

/**
 * Decides for one site which request goes to which backend server, and when.
 *
 * <p>One thread at a time drives a dispatcher: it reports events, carries out the returned actions,
 * then calls {@link #dispatch} and carries out what that returns, and calls {@link #tick} at {@link
 * #nextTickNanos}. The driver compares the clock with the owner's confirmation before it calls {@link
 * #dispatch}. Instants are nanoseconds of one monotonic clock that never runs backwards.
 */
public final class SiteDispatcher {
    /** How often the ages of attempts are looked at. */
    private static final long TICK_NANOS = 5_000_000L;

    /** When to come back to a site without backend servers; one of them may be back by then. */
    private static final long NO_BACKEND_RETRY_NANOS = 1_000_000_000L;

    private final Site mSite;
    private final InFlight mInFlight;
    private final SiteQueue mQueue = SiteQueue.create();
    private long mTickedNanos;

    private SiteDispatcher(Site site, long nowNanos) {
        mSite = site;
        mInFlight = new InFlight(site);
        mTickedNanos = nowNanos;
    }

    /**
     * Creates the dispatcher of a site whose owner has just started.
     *
     * @param config what the settings say
     * @param limits the site's caps, driven by the dispatcher from now on
     * @param random breaks ties between backend servers
     */
    public static SiteDispatcher create(
            SiteConfig config, SiteLimits limits, RandomGenerator random, long nowNanos) {
        return create(config, SiteTuning.standard(), limits, random, nowNanos);
    }

    /** Creates a dispatcher with other numbers than the standard ones. */
    public static SiteDispatcher create(
            SiteConfig config,
            SiteTuning tuning,
            SiteLimits limits,
            RandomGenerator random,
            long nowNanos) {
        return new SiteDispatcher(new Site(config, tuning, limits, random, nowNanos), nowNanos);
    }

    /** Follows another settings version; requests in flight go on. */
    public void configure(SiteConfig config, long nowNanos) {
        mSite.mConfig = config;
        mSite.mPool.configure(config, nowNanos);
    }

    /** Takes a request into the queue, or refuses it at once. */
    public List<DispatchAction> offer(SiteRequest request, long nowNanos) {
        return offer(request, Long.MAX_VALUE, nowNanos);
    }

    /**
     * Takes a request into the queue, or refuses it at once.
     *
     * @param patienceNanos how long the request may be expected to wait before the ingress would
     *     rather send it to another site
     */
    public List<DispatchAction> offer(SiteRequest request, long patienceNanos, long nowNanos) {
        if (request.deadlineNanos() <= nowNanos) {
            return List.of(notRun(request, RefusalReason.DEADLINE_EXPIRED, 0));
        }
        if (mSite.mPool.servingSlots(nowNanos) == 0) {
            long retryAt = nowNanos + NO_BACKEND_RETRY_NANOS;
            return List.of(notRun(request, RefusalReason.NO_BACKEND, retryAt));
        }
        WorkClass workClass = mSite.mLearner.classOf(request);
        long mean = mSite.times(workClass).meanNanos();
        long wait = expectedWaitNanos(workClass, request.deadlineNanos(), nowNanos);
        long bound =
                Math.min(
                        request.deadlineNanos() - mean - nowNanos,
                        Math.max(
                                mSite.mTuning.maxWaitNanos(),
                                (long) (mSite.mTuning.maxWaitServiceTimes() * mean)));
        bound = Math.min(bound, patienceNanos);
        if (wait > 0 && wait > bound) {
            long retryAt = nowNanos + Math.max(mean, wait - Math.max(0, bound));
            return List.of(notRun(request, RefusalReason.QUEUE_FULL, retryAt));
        }
        return switch (mSite.mLimits.tryAdmit(request.fromZone(), nowNanos)) {
            case Admission.Refused refused ->
                    List.of(notRun(request, refused.reason(), refused.retryAtNanos()));
            case Admission.Admitted admitted -> {
                mQueue.add(request, workClass, admitted);
                yield List.of();
            }
        };
    }

    private static Refuse notRun(SiteRequest request, RefusalReason reason, long retryAtNanos) {
        return new Refuse(request, reason, Outcome.NOT_RUN, retryAtNanos);
    }

    /** Returns how long a request would wait now, which the owner tells the ingress. */
    public long expectedWaitNanos(WorkClass workClass, long nowNanos) {
        return expectedWaitNanos(workClass, Long.MAX_VALUE, nowNanos);
    }

    /** Estimates how long a request of the class would wait for a slot. */
    private long expectedWaitNanos(WorkClass workClass, long deadlineNanos, long nowNanos) {
        int free = mSite.mPool.freeSlots(nowNanos);
        double slots = mSite.mPool.effectiveSlots(nowNanos);
        int longInFlight = mInFlight.count(WorkClass.LONG);
        if (workClass == WorkClass.LONG) {
            int limit = mSite.longLimit(nowNanos);
            slots = Math.min(slots, limit);
            free = Math.min(free - mQueue.size(WorkClass.SHORT), limit - longInFlight);
        } else {
            slots -= longInFlight;
        }
        int ahead = mQueue.ahead(workClass, deadlineNanos);
        if (ahead < free) {
            return 0;
        }
        long mean = mSite.times(workClass).meanNanos();
        return (long) ((ahead + 1 - Math.max(0, free)) * mean / Math.max(0.1, slots));
    }

    /** Returns the sends that are possible now, and refusals of requests that expired meanwhile. */
    public List<DispatchAction> dispatch(long nowNanos) {
        List<DispatchAction> out = new ArrayList<>();
        expireQueued(out, nowNanos);
        int shortDemand = mInFlight.count(WorkClass.SHORT) + mQueue.size(WorkClass.SHORT);
        mSite.mShare.update(shortDemand, nowNanos);
        mInFlight.rescue(out, nowNanos);
        while (mQueue.size(WorkClass.SHORT) + mQueue.size(WorkClass.LONG) > 0) {
            Backend backend = mSite.mChooser.choose(null, nowNanos);
            if (backend == null) {
                break;
            }
            SiteQueue.Entry entry = pollNext(nowNanos);
            if (entry == null) {
                break;
            }
            mInFlight.send(entry, backend, out, nowNanos);
        }
        return out;
    }

    private SiteQueue.@Nullable Entry pollNext(long nowNanos) {
        SiteQueue.Entry entry =
                mQueue.poll(WorkClass.SHORT, e -> mSite.mLimits.trySend(e.admission(), nowNanos));
        if (entry == null
                && mQueue.size(WorkClass.LONG) > 0
                && mInFlight.count(WorkClass.LONG) < mSite.longLimit(nowNanos)) {
            entry =
                    mQueue.poll(
                            WorkClass.LONG, e -> mSite.mLimits.trySend(e.admission(), nowNanos));
        }
        return entry;
    }

    private void expireQueued(List<DispatchAction> out, long nowNanos) {
        for (WorkClass workClass : WorkClass.values()) {
            if (mQueue.size(workClass) == 0) {
                continue;
            }
            long mean = mSite.times(workClass).meanNanos();
            for (SiteQueue.Entry entry : mQueue.removeDueBy(workClass, nowNanos + mean / 2)) {
                mSite.mLimits.release(entry.admission());
                long retryAt = nowNanos + mean;
                out.add(notRun(entry.request(), RefusalReason.DEADLINE_EXPIRED, retryAt));
            }
        }
        if (mSite.mPool.servingSlots(nowNanos) == 0) {
            long retryAt = nowNanos + NO_BACKEND_RETRY_NANOS;
            out.addAll(refuseQueued(RefusalReason.NO_BACKEND, retryAt, nowNanos));
        }
    }

    /**
     * Reports that an answer has begun to arrive and will be streamed, which decides its request.
     * {@link #attemptEnded} follows at the end of the answer.
     */
    public List<DispatchAction> responseStarted(long attempt, long nowNanos) {
        return mInFlight.answerBegan(attempt, nowNanos);
    }

    /** Reports the end of an attempt. */
    public List<DispatchAction> attemptEnded(long attempt, AttemptResult result, long nowNanos) {
        InFlight.Ended ended = mInFlight.completed(attempt, result, nowNanos);
        Flight again = ended.again();
        if (again == null) {
            return ended.actions();
        }
        // A refused connection is no attempt at the work: it goes back to its place in the queue.
        List<DispatchAction> out = new ArrayList<>(ended.actions());
        switch (mSite.mLimits.tryAdmit(again.mRequest.fromZone(), nowNanos)) {
            case Admission.Refused refused ->
                    out.add(notRun(again.mRequest, refused.reason(), refused.retryAtNanos()));
            case Admission.Admitted admitted ->
                    mQueue.add(again.mRequest, again.mWorkClass, admitted);
        }
        return out;
    }

    /** Reports that the client has gone; its request leaves the queue or is cancelled. */
    public List<DispatchAction> requestCancelled(long requestId, long nowNanos) {
        SiteQueue.Entry entry = mQueue.remove(requestId);
        if (entry != null) {
            mSite.mLimits.release(entry.admission());
            return List.of();
        }
        List<DispatchAction> out = new ArrayList<>(2);
        mInFlight.cancelled(requestId, out, nowNanos);
        return out;
    }

    /** Reports what a backend server says of itself. */
    public void loadReported(String backend, LoadReport report, LoadReportSource source, long nowNanos) {
        Backend known = mSite.mPool.find(backend);
        if (known != null) {
            known.reported(report, source, nowNanos);
        }
    }

    /** Does what is due: expiry, hedges, ejections. */
    public List<DispatchAction> tick(long nowNanos) {
        mTickedNanos = nowNanos;
        List<DispatchAction> out = new ArrayList<>();
        mInFlight.tick(out, nowNanos);
        return out;
    }

    /**
     * Refuses all requests that wait in the queue, because the owner stops, has lost the site, or
     * is not confirmed. Requests in flight go on.
     */
    public List<DispatchAction> refuseQueued(
            RefusalReason reason, long retryAtNanos, long nowNanos) {
        List<DispatchAction> out = new ArrayList<>();
        for (SiteQueue.Entry entry : mQueue.removeAll()) {
            mSite.mLimits.release(entry.admission());
            out.add(notRun(entry.request(), reason, retryAtNanos));
        }
        return out;
    }

    /**
     * Returns how many attempts may still run, those that were given up a moment ago included. What
     * waits in the queue holds places under caps and counts as well.
     */
    public int possiblyRunning(long nowNanos) {
        return Math.max(mInFlight.attempts(), mSite.mLimits.mayRun(nowNanos));
    }

    /** Returns when {@link #tick} is to be called next; {@link Long#MAX_VALUE} if never. */
    public long nextTickNanos() {
        int waiting = mQueue.size(WorkClass.SHORT) + mQueue.size(WorkClass.LONG);
        if (waiting == 0 && mInFlight.isEmpty()) {
            return mInFlight.wakeAtNanos();
        }
        // A hedge that found no slot or no budget is tried again at the next tick, not before.
        long due = Math.max(mInFlight.wakeAtNanos(), mTickedNanos + TICK_NANOS / 5);
        return Math.min(due, mTickedNanos + TICK_NANOS);
    }

    /** Returns figures for metrics and status pages. */
    public SiteStatus status(long nowNanos) {
        return new SiteStatus(
                mSite.mConfig.service(),
                mQueue.size(WorkClass.SHORT),
                mQueue.size(WorkClass.LONG),
                mInFlight.count(WorkClass.SHORT),
                mInFlight.count(WorkClass.LONG),
                mSite.mPool.status(nowNanos));
    }

    /** Returns the site's caps, for the pacing of answers. */
    public SiteLimits limits() {
        return mSite.mLimits;
    }
}
