package org.redwingladder.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.redwingladder.api.Refusal;
import org.redwingladder.routing.SiteWaitTracker;
import org.redwingladder.routing.WorkClass;

/**
 * Orders the sites of a service by distance and by the queueing delays that the site owners report.
 *
 * <p>If requests always tried the nearest site first, each request to a service whose nearest site
 * is at a cap would be refused there, which would exhaust the retry budget and leave requests
 * unanswered. Thread-safe.
 */
final class SiteSelector {
    /** The delay assumed for an unusable site; the site is tried again once it has decayed. */
    private static final long UNAVAILABLE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The delay assumed for a site at a cap; diverts requests for about half a second. */
    private static final long CAPPED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final PipelineContext mContext;
    private final Map<String, SiteWaitTracker> mLoadsByKey = new ConcurrentHashMap<>();

    SiteSelector(PipelineContext context) {
        mContext = context;
    }

    /**
     * Returns the sites in the order in which to try them.
     *
     * @param key the key of the service and work class, see {@link #key}
     * @param zones the zones of the sites in the order of the look-up; without reported delays the
     *     first one stays first
     */
    List<SiteWaitTracker.Site> order(String key, List<String> zones) {
        List<SiteWaitTracker.Site> sites = new ArrayList<>(zones.size());
        for (String zone : zones) {
            long roundTrip = sites.isEmpty() ? 0 : mContext.view().roundTripNanos(zone);
            sites.add(new SiteWaitTracker.Site(zone, roundTrip));
        }
        SiteWaitTracker loads = loads(key);
        synchronized (loads) {
            return loads.rank(sites, mContext.time().nanos());
        }
    }

    /**
     * Returns the longest acceptable queueing delay at the first of {@code sites}, in nanoseconds;
     * {@link Long#MAX_VALUE} for no bound.
     *
     * @param tokens the tokens left in the retry budget
     */
    long maxWaitNanos(String key, List<SiteWaitTracker.Site> sites, int tokens) {
        SiteWaitTracker loads = loads(key);
        synchronized (loads) {
            return loads.maxWaitNanos(sites, tokens, mContext.time().nanos());
        }
    }

    /** Records that a request was sent to a site. */
    void recordSend(String key, String zone) {
        SiteWaitTracker loads = loads(key);
        synchronized (loads) {
            loads.recordSend(zone, mContext.time().nanos());
        }
    }

    /** Records the queueing delay that the owner of a site reported. */
    void recordWait(String key, String zone, long waitNanos) {
        SiteWaitTracker loads = loads(key);
        synchronized (loads) {
            loads.recordWait(zone, waitNanos, mContext.time().nanos());
        }
    }

    /** Records a refusal that implies a longer delay than the site's owner has reported. */
    void recordRefusal(String key, String zone, Refusal refusal) {
        switch (refusal.reason()) {
            case CAP_RATE, CAP_IN_FLIGHT, LINK_FULL -> recordWait(key, zone, CAPPED_WAIT_NANOS);
            case NOT_OWNER, NOT_CONFIRMED, NOT_READY, STOPPING, NO_BACKEND, PEER_LOST ->
                    recordWait(key, zone, UNAVAILABLE_WAIT_NANOS);
            default -> {
                // The owner has reported its delay, or the request itself is invalid.
            }
        }
    }

    /** Returns the key under which loads and retry budgets are kept: service and work class. */
    static String key(InboundRequest request) {
        return request.service().name()
                + (request.configuredClass() == WorkClass.LONG ? "/long" : "");
    }

    private SiteWaitTracker loads(String key) {
        return mLoadsByKey.computeIfAbsent(key, name -> SiteWaitTracker.create());
    }
}
