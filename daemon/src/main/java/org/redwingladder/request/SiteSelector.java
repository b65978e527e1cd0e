package org.redwingladder.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.redwingladder.api.Refusal;
import org.redwingladder.routing.SiteLoads;
import org.redwingladder.routing.WorkClass;

/**
 * Chooses the site of a request by distance and by the waits that the sites' owners have told.
 *
 * <p>Without it each request to a service whose near site is at a cap is refused there first, which
 * spends the retry budget and leaves requests without an answer.
 */
final class SiteSelector {
    /** Stands for a site that cannot be used now; it is asked again when this is forgotten. */
    private static final long CLOSED_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A refusal by a cap keeps requests away for about half a second. */
    private static final long CAPPED_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final PipelineContext mContext;
    private final Map<String, SiteLoads> mLoads = new ConcurrentHashMap<>();

    SiteSelector(PipelineContext context) {
        mContext = context;
    }

    /**
     * Returns the sites in the order in which to try them.
     *
     * @param zones the zones in the order of the look-up; without waits the first stays first
     */
    List<SiteLoads.Site> order(String key, List<String> zones) {
        List<SiteLoads.Site> sites = new ArrayList<>(zones.size());
        for (String zone : zones) {
            long roundTrip = sites.isEmpty() ? 0 : mContext.view().roundTripNanos(zone);
            sites.add(new SiteLoads.Site(zone, roundTrip));
        }
        SiteLoads loads = loads(key);
        synchronized (loads) {
            return loads.order(sites, mContext.time().nanos());
        }
    }

    /** Returns how long a request should wait at the first of {@code sites} at most. */
    long maxWaitNanos(String key, List<SiteLoads.Site> sites, int tokens) {
        SiteLoads loads = loads(key);
        synchronized (loads) {
            return loads.patienceNanos(sites, tokens, mContext.time().nanos());
        }
    }

    void sent(String key, String zone) {
        SiteLoads loads = loads(key);
        synchronized (loads) {
            loads.sent(zone, mContext.time().nanos());
        }
    }

    void recordWait(String key, String zone, long waitNanos) {
        SiteLoads loads = loads(key);
        synchronized (loads) {
            loads.noted(zone, waitNanos, mContext.time().nanos());
        }
    }

    /** Notes a refusal that says more than the wait at the site. */
    void refused(String key, String zone, Refusal refusal) {
        switch (refusal.reason()) {
            case CAP_RATE, CAP_IN_FLIGHT, LINK_FULL -> recordWait(key, zone, CAPPED_NANOS);
            case NOT_OWNER, NOT_CONFIRMED, NOT_READY, STOPPING, NO_BACKEND, PEER_LOST ->
                    recordWait(key, zone, CLOSED_NANOS);
            default -> {
                // The owner has told the wait, or the request is at fault.
            }
        }
    }

    /** Returns the key of what is remembered for a service and class. */
    static String key(InboundRequest request) {
        return request.service().name() + (request.configuredClass() == WorkClass.LONG ? "/long" : "");
    }

    private SiteLoads loads(String key) {
        return mLoads.computeIfAbsent(key, name -> SiteLoads.create());
    }
}
