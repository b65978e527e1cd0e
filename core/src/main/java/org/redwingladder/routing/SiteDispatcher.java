package org.redwingladder.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.limits.Admission;
import org.redwingladder.limits.AdmissionController;
import org.redwingladder.routing.DispatchAction.Refuse;

/**
 * Schedules the requests of one site: decides which request goes to which backend server, and when.
 *
 * <p>A dispatcher is driven by one thread at a time, which reports events, carries out the returned
 * actions, then calls {@link #dispatch} and carries out the actions that it returns, and calls
 * {@link #tick} at {@link #nextTickNanos}. Before each call of {@link #dispatch} the driver checks
 * that the owner's confirmation has not expired. Instants are nanoseconds of one monotonic clock.
 */
public final class SiteDispatcher {
    /** How often the ages of attempts in flight are checked. */
    private static final long TICK_NANOS = 5_000_000L;

    /** Retry delay for a site without serving backend servers; one may serve again by then. */
    private static final long NO_BACKEND_RETRY_NANOS = 1_000_000_000L;

    private final SiteContext mSite;
    private final InFlightTracker mInFlight;
    private final DeadlineQueue mQueue = DeadlineQueue.create();
    private long mLastTickNanos;

    private SiteDispatcher(SiteContext site, long nowNanos) {
        mSite = site;
        mInFlight = new InFlightTracker(site);
        mLastTickNanos = nowNanos;
    }

    /**
     * Creates the dispatcher of a site whose owner has just started, with standard tuning.
     *
     * @param config the settings of the site
     * @param limits the site's caps, owned by the dispatcher from now on
     * @param random breaks ties between backend servers
     */
    public static SiteDispatcher create(
            SiteConfig config, AdmissionController limits, RandomGenerator random, long nowNanos) {
        return create(config, SiteTuning.standard(), limits, random, nowNanos);
    }

    /** Creates a dispatcher with the given tuning. */
    public static SiteDispatcher create(
            SiteConfig config,
            SiteTuning tuning,
            AdmissionController limits,
            RandomGenerator random,
            long nowNanos) {
        return new SiteDispatcher(
                new SiteContext(config, tuning, limits, random, nowNanos), nowNanos);
    }

    /** Applies a settings version; requests in flight continue. */
    public void configure(SiteConfig config, long nowNanos) {
        mSite.mConfig = config;
        mSite.mPool.configure(config, nowNanos);
    }

    /** Queues a request, or refuses it at once. */
    public List<DispatchAction> offer(SiteRequest request, long nowNanos) {
        return offer(request, Long.MAX_VALUE, nowNanos);
    }

    /**
     * Queues a request, or refuses it at once if it cannot start in time or a cap is reached.
     *
     * @param maxWaitNanos the expected wait from which the ingress prefers to send the request to
     *     another site
     */
    public List<DispatchAction> offer(SiteRequest request, long maxWaitNanos, long nowNanos) {
        if (request.deadlineNanos() <= nowNanos) {
            return List.of(notRun(request, RefusalReason.DEADLINE_EXPIRED, 0));
        }
        if (mSite.mPool.servingSlots(nowNanos) == 0) {
            long retryAt = nowNanos + NO_BACKEND_RETRY_NANOS;
            return List.of(notRun(request, RefusalReason.NO_BACKEND, retryAt));
        }
        WorkClass workClass = mSite.mClassifier.classify(request);
        long mean = mSite.times(workClass).meanNanos();
        long wait = expectedWaitNanos(workClass, request.deadlineNanos(), nowNanos);
        long bound =
                Math.min(
                        request.deadlineNanos() - mean - nowNanos,
                        Math.max(
                                mSite.mTuning.maxWaitNanos(),
                                (long) (mSite.mTuning.maxWaitServiceTimes() * mean)));
        bound = Math.min(bound, maxWaitNanos);
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

    /** Returns the expected wait of a request now, which the owner reports to the ingress. */
    public long expectedWaitNanos(WorkClass workClass, long nowNanos) {
        return expectedWaitNanos(workClass, Long.MAX_VALUE, nowNanos);
    }

    /** Estimates how long a request of the class and deadline would wait for a slot. */
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
        int queuedAhead = mQueue.countAhead(workClass, deadlineNanos);
        if (queuedAhead < free) {
            return 0;
        }
        long mean = mSite.times(workClass).meanNanos();
        return (long) ((queuedAhead + 1 - Math.max(0, free)) * mean / Math.max(0.1, slots));
    }

    /** Sends queued requests while there are free slots, and refuses those that have expired. */
    public List<DispatchAction> dispatch(long nowNanos) {
        List<DispatchAction> out = new ArrayList<>();
        expireQueued(out, nowNanos);
        int shortDemand = mInFlight.count(WorkClass.SHORT) + mQueue.size(WorkClass.SHORT);
        mSite.mLongLimiter.update(shortDemand, nowNanos);
        mInFlight.hedgeSlowBackends(out, nowNanos);
        while (mQueue.size(WorkClass.SHORT) + mQueue.size(WorkClass.LONG) > 0) {
            Backend backend = mSite.mLoadBalancer.choose(null, nowNanos);
            if (backend == null) {
                break;
            }
            DeadlineQueue.Entry entry = pollNext(nowNanos);
            if (entry == null) {
                break;
            }
            mInFlight.send(entry, backend, out, nowNanos);
        }
        return out;
    }

    private DeadlineQueue.@Nullable Entry pollNext(long nowNanos) {
        DeadlineQueue.Entry entry =
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
            for (DeadlineQueue.Entry entry :
                    mQueue.removeExpiring(workClass, nowNanos + mean / 2)) {
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
     * Reports that a response has begun to arrive and will be streamed, which makes it the final
     * response of its request. {@link #attemptEnded} follows at the end of the response.
     */
    public List<DispatchAction> responseStarted(long attempt, long nowNanos) {
        return mInFlight.responseStarted(attempt, nowNanos);
    }

    /** Reports the end of an attempt. */
    public List<DispatchAction> attemptEnded(long attempt, AttemptResult result, long nowNanos) {
        InFlightTracker.AttemptEnd ended = mInFlight.attemptEnded(attempt, result, nowNanos);
        InFlightRequest requeued = ended.requeued();
        if (requeued == null) {
            return ended.actions();
        }
        // The work was not attempted on a refused connection: it returns to its place in the queue.
        List<DispatchAction> out = new ArrayList<>(ended.actions());
        switch (mSite.mLimits.tryAdmit(requeued.mSiteRequest.fromZone(), nowNanos)) {
            case Admission.Refused refused ->
                    out.add(
                            notRun(
                                    requeued.mSiteRequest,
                                    refused.reason(),
                                    refused.retryAtNanos()));
            case Admission.Admitted admitted ->
                    mQueue.add(requeued.mSiteRequest, requeued.mWorkClass, admitted);
        }
        return out;
    }

    /** Reports that the client has disconnected, which cancels its request. */
    public List<DispatchAction> requestCancelled(long requestId, long nowNanos) {
        DeadlineQueue.Entry entry = mQueue.remove(requestId);
        if (entry != null) {
            mSite.mLimits.release(entry.admission());
            return List.of();
        }
        List<DispatchAction> out = new ArrayList<>(2);
        mInFlight.requestCancelled(requestId, out, nowNanos);
        return out;
    }

    /** Reports the load of a backend server; one that is unknown is ignored. */
    public void loadReported(
            String backend, LoadReport report, LoadReportSource source, long nowNanos) {
        Backend target = mSite.mPool.find(backend);
        if (target != null) {
            target.applyLoadReport(report, source, nowNanos);
        }
    }

    /** Runs the timers that are due: expiry, hedges, probes, ejections. */
    public List<DispatchAction> tick(long nowNanos) {
        mLastTickNanos = nowNanos;
        List<DispatchAction> out = new ArrayList<>();
        mInFlight.tick(out, nowNanos);
        return out;
    }

    /**
     * Refuses all queued requests, because the owner stops, has lost the site, or is not confirmed.
     * Requests in flight continue.
     */
    public List<DispatchAction> refuseQueued(
            RefusalReason reason, long retryAtNanos, long nowNanos) {
        List<DispatchAction> out = new ArrayList<>();
        for (DeadlineQueue.Entry entry : mQueue.removeAll()) {
            mSite.mLimits.release(entry.admission());
            out.add(notRun(entry.request(), reason, retryAtNanos));
        }
        return out;
    }

    /**
     * Returns how many attempts may still be running, including those cancelled or lost recently.
     * Queued requests hold places under the caps and count as well.
     */
    public int possiblyRunning(long nowNanos) {
        return Math.max(mInFlight.attemptCount(), mSite.mLimits.maxInFlight(nowNanos));
    }

    /** Returns when to call {@link #tick} next; {@link Long#MAX_VALUE} if no timer is set. */
    public long nextTickNanos() {
        int queued = mQueue.size(WorkClass.SHORT) + mQueue.size(WorkClass.LONG);
        if (queued == 0 && mInFlight.isEmpty()) {
            return mInFlight.nextTickNanos();
        }
        // A due hedge that found no slot or no budget is only retried at the next tick.
        long due = Math.max(mInFlight.nextTickNanos(), mLastTickNanos + TICK_NANOS / 5);
        return Math.min(due, mLastTickNanos + TICK_NANOS);
    }

    /** Returns a snapshot for metrics and status pages. */
    public SiteStatus status(long nowNanos) {
        return new SiteStatus(
                mSite.mConfig.service(),
                mQueue.size(WorkClass.SHORT),
                mQueue.size(WorkClass.LONG),
                mInFlight.count(WorkClass.SHORT),
                mInFlight.count(WorkClass.LONG),
                mSite.mPool.status(nowNanos));
    }

    /** Returns the site's caps, for the pacing of responses. */
    public AdmissionController limits() {
        return mSite.mLimits;
    }
}
